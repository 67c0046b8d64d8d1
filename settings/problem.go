package settings

import "fmt"

// Problem is one error in a settings folder.
type Problem struct {
	// File, Line and Column are its position. If the key is missing, Line is 0
	// and File is the folder.
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Key is the dotted key, if any.
	Key string `json:"key"`
	// Expected describes the expected value.
	Expected string `json:"want"`
}

// String formats the problem as file:line:column: key: expected value.
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
