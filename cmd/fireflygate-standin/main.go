// Command fireflygate-standin runs stand-ins for the platform's services, the
// endpoints and the workers, for tests and demonstrations.
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
