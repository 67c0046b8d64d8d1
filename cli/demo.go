package cli

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/demo"
)

type demoCommand struct {
	duration time.Duration
	seed     uint64
	json     bool
	verbose  bool
}

func (*demoCommand) Name() string { return "demo" }
func (*demoCommand) Synopsis() string {
	return "run a small site in one process and check its promises"
}

func (*demoCommand) Usage() string {
	return `demo [-duration D] [-seed N] [-json] [-v]
  Runs three entry hosts with stand-ins for everything else, on loopback and free
  ports: callers, bookings, batch jobs and an event compete while an endpoint
  leaves and an entry host drains. Ends with a table; with -json the last line is
  one JSON object. Exits 1 if a promise was broken.
  Example: fireflygate demo -duration 10s -seed 1
`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.duration, "duration", 15*time.Second, "how long callers send requests")
	f.Uint64Var(&c.seed, "seed", 1, "seed of arrivals, sizes and choices")
	f.BoolVar(&c.json, "json", false, "print the result as one JSON line")
	f.BoolVar(&c.verbose, "v", false, "print the entry hosts' log to standard error")
}

func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.duration < time.Second {
		return usage("demo takes no arguments and at least -duration 1s")
	}
	o := demo.Options{Duration: c.duration, Seed: c.seed, Progress: os.Stdout, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	if c.verbose {
		o.Log = newLogger(false)
	}
	result, err := demo.Run(ctx, o)
	if err != nil {
		return fail(err)
	}
	result.Print(os.Stdout)
	if c.json {
		printJSON(result)
	}
	return exitOfDemo(result)
}

// exitOfDemo is a failure when a promise was broken.
func exitOfDemo(r demo.Result) subcommands.ExitStatus {
	if r.Violations > 0 {
		return ExitFailed
	}
	return ExitOK
}
