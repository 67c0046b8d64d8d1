package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/burnpage"
	"github.com/fireflygate/fireflygate/gen/operations"
)

type reportCommand struct {
	target
	html string
}

func (*reportCommand) Name() string     { return "report" }
func (*reportCommand) Synopsis() string { return "report the burn rates of service-level objectives" }

func (*reportCommand) Usage() string {
	return `report [-to URL] [-json] [-html FILE]
  Reports how fast each objective's error budget is spent over several windows.
  With -html it writes a self-contained HTML page with plots.
  Example: fireflygate report -html burn.html
`
}

func (c *reportCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f, localOperatorsURL)
	f.StringVar(&c.html, "html", "", "`file` to write the report to as an HTML page")
}

func (c *reportCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.operations()
	if err != nil {
		return fail(err)
	}
	res, err := client.Report()(ctx, nil)
	if err != nil {
		return fail(err)
	}
	list := res.([]*operations.BurnReport)
	switch {
	case c.html != "":
		return writePage(c.html, list)
	case c.json:
		return printJSON(list)
	default:
		printReports(list)
		return ExitOK
	}
}

// writePage writes the reports to a file as an HTML page.
func writePage(path string, list []*operations.BurnReport) subcommands.ExitStatus {
	var page bytes.Buffer
	if err := burnpage.Write(&page, list, time.Now()); err != nil {
		return fail(err)
	}
	const mode = 0o644
	if err := os.WriteFile(path, page.Bytes(), mode); err != nil {
		return fail(err)
	}
	return ExitOK
}

func printReports(list []*operations.BurnReport) {
	var rows [][]string
	for _, r := range list {
		for _, w := range r.Windows {
			rows = append(rows, []string{
				r.Objective, r.Service, fmt.Sprint(r.Target), r.Alert,
				(time.Duration(w.WindowMs) * time.Millisecond).String(), fmt.Sprint(w.Good), fmt.Sprint(w.Total),
				fmt.Sprintf("%.2f", w.Burn), (time.Duration(w.CoveredMs) * time.Millisecond).Round(time.Second).String(),
			})
		}
	}
	printTable(os.Stdout, []string{"OBJECTIVE", "SERVICE", "TARGET", "ALERT", "WINDOW", "GOOD", "TOTAL", "BURN", "COVERED"}, rows)
}
