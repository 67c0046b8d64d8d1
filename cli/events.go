package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/operations"
)

type eventsCommand struct{ target }

func (*eventsCommand) Name() string { return "events" }
func (*eventsCommand) Synopsis() string {
	return "show events and the forecast of the work due by them"
}

func (*eventsCommand) Usage() string {
	return `events [-to URL] [-json]
  Shows the start of each event, the jobs due by it, and whether they will be done
  in time.
  Example: fireflygate events
`
}

func (c *eventsCommand) SetFlags(f *flag.FlagSet) { c.flags(f, localOperatorsURL) }

func (c *eventsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.operations()
	if err != nil {
		return fail(err)
	}
	res, err := client.Events()(ctx, nil)
	if err != nil {
		return fail(err)
	}
	list := res.([]*operations.EventStatus)
	if c.json {
		return printJSON(list)
	}
	var rows [][]string
	for _, e := range list {
		rows = append(rows, []string{e.Name, formatTime(e.StartUnixMs), fmt.Sprint(e.Done, "/", e.Jobs), e.Forecast, e.Reason})
	}
	printTable(os.Stdout, []string{"EVENT", "START", "DONE", "FORECAST", "REASON"}, rows)
	return ExitOK
}
