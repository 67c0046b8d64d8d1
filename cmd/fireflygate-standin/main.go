// Command fireflygate-standin runs stand-ins for the platform, endpoints and
// workers, for tests and the demonstration.
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&serve{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(ctx)))
}
