// Command fireflygate-edge runs an entry host on the users' platform.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(&checkCommand{}, "")
	subcommands.Register(&traceCommand{}, "")
	subcommands.Register(&explainDayCommand{}, "")
	flag.Parse()
	// A write to a closed pipe returns an error instead of ending the process.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status)) //nolint:gocritic // stop has run
}
