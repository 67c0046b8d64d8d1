package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/operations"
)

type reportCommand struct {
	target
}

func (*reportCommand) Name() string     { return "report" }
func (*reportCommand) Synopsis() string { return "report the burn of service-level objectives" }
func (*reportCommand) Usage() string {
	return `report [-to URL] [-json]
  Reports how fast each objective's error budget is spent over several windows.
  Example: fireflygate report
`
}

func (c *reportCommand) SetFlags(f *flag.FlagSet) { c.flags(f, localOperators) }

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
	if c.json {
		return printJSON(list)
	}
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
	return ExitOK
}
