package cli

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Main runs the command named in args and returns its exit code. SIGINT and
// SIGTERM cancel the command's context.
func Main(args []string) int {
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "fireflygate")
	register(commander)
	if err := flags.Parse(args[1:]); err != nil {
		return int(ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx))
}

func register(c *subcommands.Commander) {
	const help, run, operate = "help", "run", "operate"
	c.Register(c.HelpCommand(), help)
	c.Register(c.FlagsCommand(), help)
	c.Register(c.CommandsCommand(), help)
	c.Register(&versionCommand{}, help)
	c.Register(&completionCommand{commander: c}, help)
	c.Register(&serveCommand{}, run)
	c.Register(&demoCommand{}, run)
	c.Register(&loadCommand{}, run)
	c.Register(&callCommand{}, run)
	c.Register(&submitCommand{}, run)
	c.Register(&cancelCommand{}, run)
	c.Register(&explainCommand{}, run)
	c.Register(&checkCommand{}, operate)
	c.Register(&diffCommand{}, operate)
	c.Register(&applyCommand{}, operate)
	c.Register(&rollbackCommand{}, operate)
	c.Register(&versionsCommand{}, operate)
	c.Register(&zoneCommand{}, operate)
	c.Register(&statusCommand{}, operate)
	c.Register(&eventsCommand{}, operate)
	c.Register(&reportCommand{}, operate)
	c.Register(&drainCommand{}, operate)
}
