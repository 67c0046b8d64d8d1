package cli

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
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
	return "run a small site in one process and check the scheduler's promises"
}

func (*demoCommand) Usage() string {
	return `demo [-duration D] [-seed N] [-json] [-v]
  Runs three entry hosts with stand-ins for the platform, endpoints and workers on
  free loopback ports. Calls, bookings, batch jobs and an event compete while an
  endpoint leaves and an entry host drains. Prints the results as a table; with
  -json the last line is one JSON object. Exits 1 if a promise was broken.
  A signal ends the run early, with its results; a second one ends it at once.
  Example: fireflygate demo -duration 10s -seed 1
`
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.duration, "duration", 15*time.Second, "duration of the callers' traffic")
	f.Uint64Var(&c.seed, "seed", 1, "seed of random arrivals, sizes and choices")
	f.BoolVar(&c.json, "json", false, "print the result as one JSON line")
	f.BoolVar(&c.verbose, "v", false, "write the entry hosts' log to standard error")
}

func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || c.duration < time.Second {
		return usageError("demo takes no arguments and at least -duration 1s")
	}
	o := demo.Options{Duration: c.duration, Seed: c.seed, Progress: os.Stdout, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	if c.verbose {
		o.Log = newLogger(false)
	}
	result, err := demo.Run(untilFirstSignal(ctx), o)
	if err != nil {
		return fail(err)
	}
	result.Print(os.Stdout)
	if c.json {
		printJSON(result)
	}
	return demoExitCode(result)
}

// untilFirstSignal returns a context that ends after ctx, which ends with a signal. By
// then another signal ends the process.
func untilFirstSignal(ctx context.Context) context.Context {
	until, end := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() {
		signal.Reset(os.Interrupt, syscall.SIGTERM)
		end()
	})
	return until
}

// demoExitCode returns ExitFailed if a promise was broken.
func demoExitCode(r demo.Result) subcommands.ExitStatus {
	if r.Violations > 0 {
		return ExitFailed
	}
	return ExitOK
}
