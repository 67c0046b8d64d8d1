package cli

import (
	"context"
	"flag"
	"log/slog"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gate"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin/httpclient"
)

// memoryShare is the fraction of the process's memory that is set as soft memory limit of
// the Go runtime. The rest is for kernel buffers and the program itself.
const memoryShare = 0.6

type serveCommand struct {
	config  string
	logJSON bool
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one entry host" }
func (*serveCommand) Usage() string {
	return `serve -config DIR
  Runs one entry host with the settings in DIR until SIGTERM, then drains it: the
  host hands over its shards, finishes requests in flight and exits 0.
  Example: fireflygate serve -config /etc/fireflygate
`
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "settings `folder`")
	f.BoolVar(&c.logJSON, "log-json", true, "log as JSON lines instead of text")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.config == "" || f.NArg() > 0 {
		return usageError("serve needs -config and takes no arguments")
	}
	s, err := settings.Load(c.config, settings.Process)
	if err != nil {
		return fail(err)
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Host.MemoryMB<<20)))
	g, err := gate.New(s, newDeps(s, newLogger(c.logJSON)))
	if err != nil {
		return fail(err)
	}
	listeners, err := gate.Listen(s.Host)
	if err != nil {
		return fail(err)
	}
	if err := g.Run(ctx, listeners); err != nil {
		return fail(err)
	}
	return ExitOK
}

func newLogger(asJSON bool) *slog.Logger {
	if asJSON {
		return slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil))
}

// newDeps returns HTTP clients for the platform's services.
func newDeps(s settings.Settings, log *slog.Logger) gate.Deps {
	// There is no limit on all idle connections: workers are polled every second,
	// and a host with more workers than the limit would open a new connection for
	// each poll.
	const idleConns = 64
	transport := &http.Transport{MaxIdleConnsPerHost: idleConns, IdleConnTimeout: time.Minute}
	client := &http.Client{Transport: transport, Timeout: s.Platform.Timeout.D()}
	return gate.Deps{
		Table:   httpclient.NewTable(s.Platform.Table, client),
		Objects: httpclient.NewObjects(s.Platform.Objects, client),
		Members: httpclient.NewMembers(s.Platform.Members, client),
		Workers: httpclient.NewWorkers(client),
		Log:     log,
		Now:     time.Now,
		Build:   Version(),
	}
}
