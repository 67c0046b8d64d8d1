package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/logsink"
	"github.com/fireflygate/fireflygate/mechanism"
	"github.com/fireflygate/fireflygate/platform"
)

// serveCommand runs an entry host.
type serveCommand struct {
	settings string
	level    slog.Level
	lines    int
	without  string
}

// logFlush bounds the wait for buffered log lines at exit. It is much shorter
// than the second that a stop reserves for the end of the process.
const logFlush = 200 * time.Millisecond

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run an entry host until SIGTERM" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return "serve [-settings FILE] [-log LEVEL] [-log-lines N] [-without MECHANISM,...]\n"
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsVariable), "the platform's settings file")
	f.TextVar(&c.level, "log", slog.LevelInfo, "minimum level that is logged")
	f.IntVar(&c.lines, "log-lines", logsink.DefaultLinesPerSecond, "log lines per second; domain events have a quarter more")
	f.StringVar(&c.without, "without", "", "parts of the scheduling policy to disable, for experiments: "+strings.Join(mechanism.Names(), ", "))
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.lines <= 0 {
		fmt.Fprintf(os.Stderr, "-log-lines is %d, want more than 0\n", c.lines)
		return subcommands.ExitUsageError
	}
	without, err := mechanism.Parse(c.without)
	if err != nil {
		fmt.Fprintf(os.Stderr, "-without: %v\n", err)
		return subcommands.ExitUsageError
	}
	s, err := platform.LoadSettings(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	sink := logsink.New(os.Stdout, logsink.Options{
		Level: c.level, LinesPerSecond: c.lines, IsRoutine: event.IsRoutine, OnDropped: logDropped,
	})
	d := platform.NewDaemon(s, sink, without)
	go d.WatchSettings(ctx, c.settings)
	err = d.Run(ctx)
	flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), logFlush)
	defer cancel()
	sink.Close(flush)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// logDropped logs the number of dropped lines.
func logDropped(log *slog.Logger, overBudget, queueFull int64) {
	event.LogLinesDropped.Log(log, slog.Int64("over_budget", overBudget), slog.Int64("queue_full", queueFull))
}
