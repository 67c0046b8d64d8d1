package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/platform"
)

// serveCommand runs an entry host.
type serveCommand struct {
	settings string
	level    slog.Level
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run an entry host until SIGTERM" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string { return "serve [-settings FILE] [-log LEVEL]\n" }

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsVariable), "the platform's settings file")
	f.TextVar(&c.level, "log", slog.LevelInfo, "least severity that is logged")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := platform.LoadSettings(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	log := slog.New(slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: c.level}))
	d := platform.NewDaemon(s, log)
	go d.WatchSettings(ctx, c.settings)
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
