package cli

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"github.com/fireflygate/fireflygate/gen/jobs"
	"github.com/fireflygate/fireflygate/task"
)

type submitCommand struct {
	target
	spec     jobs.JobSpec
	size     jobs.ResourceList
	run, due time.Duration
	event    string
	urgent   bool
}

func (*submitCommand) Name() string     { return "submit" }
func (*submitCommand) Synopsis() string { return "submit a job" }
func (*submitCommand) Usage() string {
	return `submit [-to URL] -team T -class C [flags]
  Submits a job and prints it once it is durable. The same -key is the same job,
  however often it is submitted.
  Example: fireflygate submit -team rounds -class route-plan -cpu 2000 -memory 4096 -run 10m
`
}

func (c *submitCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f, localCallersURL)
	f.StringVar(&c.spec.Key, "key", "", "idempotency `key`; by default a new UUID")
	f.StringVar(&c.spec.Team, "team", "", "`team` whose quota is charged")
	f.StringVar(&c.spec.Class, "class", "", "job `class`")
	f.StringVar(&c.spec.Qos, "qos", string(task.Batch), "quality of service: batch or latency_critical")
	f.BoolVar(&c.urgent, "urgent", false, "start at once, preempting other jobs if necessary")
	f.Int64Var(&c.size.MilliCPU, "cpu", 1000, "thousandths of a core")
	f.Int64Var(&c.size.MemoryMb, "memory", 1024, "megabytes of memory")
	f.DurationVar(&c.run, "run", 0, "run time; 0 for a job that runs until it is cancelled")
	f.DurationVar(&c.due, "due", 0, "time from now by which it must be done; 0 for none")
	f.StringVar(&c.event, "event", "", "`name` of the event by whose start it must be done")
}

func (c *submitCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.spec.Team == "" || c.spec.Class == "" {
		return usageError("submit needs -team and -class")
	}
	if c.spec.Key == "" {
		c.spec.Key = uuid.NewString()
	}
	client, err := c.jobs()
	if err != nil {
		return fail(err)
	}
	runMS := c.run.Milliseconds()
	c.spec.Resources, c.spec.Urgent, c.spec.RunMs = &c.size, &c.urgent, &runMS
	if c.due > 0 {
		due := time.Now().Add(c.due).UnixMilli()
		c.spec.DueUnixMs = &due
	}
	if c.event != "" {
		c.spec.Event = &c.event
	}
	res, err := client.Submit()(ctx, &c.spec)
	if err != nil {
		return fail(err)
	}
	return printJob(&c.target, res.(*jobs.JobStatus))
}
