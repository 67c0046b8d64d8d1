package settings

import (
	"slices"
	"strings"
)

// Problems is every mistake found in a folder; it is an error when not empty.
type Problems []Problem

// Error lists the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the problems by file, line and column.
func (ps Problems) sorted() Problems {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return ps
}
