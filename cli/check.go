package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/settings"
)

type checkCommand struct{ process bool }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings folder" }
func (*checkCommand) Usage() string {
	return `check [-process] DIR
  Merges the TOML files of DIR in the order of their names and lists every
  mistake as file:line:column: key: what was expected. Exits 2 if there is one.
  Example: fireflygate check examples/bergamo
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.process, "process", false, "also require what one entry host needs to start")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("check takes one folder")
	}
	scope := settings.Policy
	if c.process {
		scope = settings.Process
	}
	if _, err := settings.Load(f.Arg(0), scope); err != nil {
		fmt.Println(err)
		return ExitUsage
	}
	fmt.Println("ok")
	return ExitOK
}
