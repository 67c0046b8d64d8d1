package settings

import "fmt"

// Problem is one mistake in a folder of settings.
type Problem struct {
	// File, Line and Column are where it is; Line is 0 when the key is
	// missing, and File then names the folder.
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Key is the dotted key concerned, if any.
	Key string `json:"key"`
	// Want says what was expected.
	Expected string `json:"want"`
}

// String returns file:line:column: key: what was expected.
func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", where, p.Expected)
	}
	return fmt.Sprintf("%s: %s: %s", where, p.Key, p.Expected)
}
