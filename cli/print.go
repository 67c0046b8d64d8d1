package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
)

// printJSON writes v as one JSON line.
func printJSON(v any) subcommands.ExitStatus {
	if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
		return fail(err)
	}
	return ExitOK
}

// printTable writes a header and rows in aligned columns.
func printTable(w io.Writer, header []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printRow(t, header)
	for _, row := range rows {
		printRow(t, row)
	}
	_ = t.Flush()
}

func printRow(w io.Writer, cells []string) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}

// fail prints an error and returns the exit code for it.
func fail(err error) subcommands.ExitStatus {
	var what any = err
	if p, ok := problemOf(err); ok {
		what = p
	}
	_, _ = fmt.Fprintln(os.Stderr, "fireflygate:", what)
	return errorExitCode(err)
}

// usageError prints an error in the command line and returns ExitUsage.
func usageError(format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(os.Stderr, "fireflygate: "+format+"\n", args...)
	return ExitUsage
}

// formatTime formats Unix milliseconds in local time.
func formatTime(unixMS int64) string {
	return time.UnixMilli(unixMS).Format(time.DateTime)
}

// sortRows sorts rows by their first cell.
func sortRows(rows [][]string) {
	slices.SortFunc(rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
}
