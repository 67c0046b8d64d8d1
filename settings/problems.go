package settings

import (
	"slices"
	"strings"
)

// Problems lists all errors found in a settings folder. It implements error.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the problems by file, line and column.
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
