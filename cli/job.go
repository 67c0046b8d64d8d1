package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/jobs"
)

func printJob(t *target, j *jobs.JobStatus) subcommands.ExitStatus {
	if t.json {
		return printJSON(j)
	}
	printTable(os.Stdout, []string{"ID", "TEAM", "CLASS", "STATE", "EPOCH", "WORKER", "REASON"}, [][]string{
		{j.ID, j.Team, j.Class, j.State, fmt.Sprint(j.Epoch), j.Worker, j.Reason},
	})
	return ExitOK
}

type cancelCommand struct{ target }

func (*cancelCommand) Name() string     { return "cancel" }
func (*cancelCommand) Synopsis() string { return "cancel a job" }
func (*cancelCommand) Usage() string {
	return `cancel [-to URL] ID
  Cancels a job. A job that had not started is reported as cancelled with epoch 0.
  Example: fireflygate cancel 0b9c
`
}

func (c *cancelCommand) SetFlags(f *flag.FlagSet) { c.flags(f, localCallersURL) }

func (c *cancelCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("cancel takes one job")
	}
	client, err := c.jobs()
	if err != nil {
		return fail(err)
	}
	res, err := client.Cancel()(ctx, &jobs.CancelPayload{ID: f.Arg(0)})
	if err != nil {
		return fail(err)
	}
	return printJob(&c.target, res.(*jobs.JobStatus))
}

type explainCommand struct{ target }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show the state of a job and the reason for it" }
func (*explainCommand) Usage() string {
	return `explain [-to URL] ID
  Shows a job and why it is pending, was placed on its worker, or was evicted.
  Example: fireflygate explain 0b9c
`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) { c.flags(f, localCallersURL) }

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("explain takes one job")
	}
	client, err := c.jobs()
	if err != nil {
		return fail(err)
	}
	res, err := client.Show()(ctx, &jobs.ShowPayload{ID: f.Arg(0)})
	if err != nil {
		return fail(err)
	}
	return printJob(&c.target, res.(*jobs.JobStatus))
}
