package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/platform"
)

// checkCommand validates settings files.
type checkCommand struct{}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "validate settings files of the platform" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string { return "check FILE...\n" }

// SetFlags implements subcommands.Command.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "check: no settings file given")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if _, err := platform.LoadSettings(path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = subcommands.ExitUsageError
		}
	}
	return status
}
