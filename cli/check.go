package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/settings"
)

type checkCommand struct{ process, json bool }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings folder" }
func (*checkCommand) Usage() string {
	return `check [-process] [-json] DIR
  Merges the TOML files of DIR in the order of their names and lists all errors
  as file:line:column: key: expected value. Exits 2 if there are any.
  Example: fireflygate check examples/bergamo
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.process, "process", false, "also require the settings that an entry host needs to start")
	f.BoolVar(&c.json, "json", false, "print the errors as one JSON list")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("check takes one folder")
	}
	scope := settings.Policy
	if c.process {
		scope = settings.Process
	}
	_, err := settings.Load(f.Arg(0), scope)
	var mistakes settings.Problems
	if err != nil && !errors.As(err, &mistakes) {
		return fail(err)
	}
	return c.report(mistakes)
}

// report prints the problems and returns ExitUsage if there are any.
func (c *checkCommand) report(mistakes settings.Problems) subcommands.ExitStatus {
	switch {
	case c.json:
		printJSON(append(settings.Problems{}, mistakes...))
	case len(mistakes) > 0:
		fmt.Println(mistakes)
	default:
		fmt.Println("ok")
	}
	if len(mistakes) > 0 {
		return ExitUsage
	}
	return ExitOK
}
