package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/load"
)

type loadCommand struct {
	to, path          string
	rate, bookings    float64
	duration, timeout time.Duration
	seed              uint64
	json              bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send open-loop traffic to entry hosts" }
func (*loadCommand) Usage() string {
	return `load [-to URL,URL] [-rate N] [-duration D] [-bookings SHARE] [-seed N] [-json] SERVICE
  Sends requests at a fixed mean rate, whether or not earlier ones were answered,
  and measures latency from the time at which each was due.
  Example: fireflygate load -rate 500 -duration 30s -bookings 0.1 dispatch
`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.to, "to", localCallersURL, "base `URLs` of entry hosts, separated by commas")
	f.StringVar(&c.path, "path", "/", "path below the service")
	f.Float64Var(&c.rate, "rate", 100, "requests per second")
	f.Float64Var(&c.bookings, "bookings", 0, "share of requests that are bookings, 0 to 1")
	f.DurationVar(&c.duration, "duration", 10*time.Second, "how long to send requests")
	f.DurationVar(&c.timeout, "timeout", 2*time.Second, "deadline of a request")
	f.Uint64Var(&c.seed, "seed", 1, "seed of random arrivals")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// maxInFlight bounds the load generator's requests in flight.
const maxInFlight = 4096

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("load takes one service")
	}
	if c.rate <= 0 || c.duration <= 0 {
		return usageError("-rate and -duration must be above 0")
	}
	targets := strings.Split(c.to, ",")
	s := load.Run(ctx, load.Config{
		Targets:           func() []string { return targets },
		Service:           f.Arg(0),
		Path:              c.path,
		Rate:              func(time.Duration) float64 { return c.rate },
		Duration:          c.duration,
		BookingShare:      c.bookings,
		RepeatProbability: 0.1,
		Timeout:           c.timeout,
		MaxInFlight:       maxInFlight,
		Seed:              c.seed,
	})
	if c.json {
		return printJSON(s)
	}
	fmt.Printf("sent %d, answered %d, not run %d, unknown %d, skipped %d\n", s.Sent, s.Answered, s.NotRun, s.Unknown, s.Skipped)
	fmt.Printf("latency p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms; refusals p99 %.2f ms\n",
		s.P50MS, s.P99MS, s.P999MS, s.MaxMS, s.RefusedP99MS)
	return ExitOK
}
