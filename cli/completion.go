package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// completionCommand prints a completion script generated from the registered
// commands.
type completionCommand struct {
	commander *subcommands.Commander
}

func (*completionCommand) Name() string     { return "completion" }
func (*completionCommand) Synopsis() string { return "print a completion script for a shell" }
func (*completionCommand) Usage() string {
	return `completion bash
  Prints a script, to be sourced, that completes commands and flags.
  Example: fireflygate completion bash > /etc/bash_completion.d/fireflygate
`
}

func (*completionCommand) SetFlags(*flag.FlagSet) {}

func (c *completionCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || f.Arg(0) != "bash" {
		return usageError("completion takes the shell: bash")
	}
	if _, err := fmt.Fprint(os.Stdout, bashCompletion(c.commander)); err != nil {
		return fail(err)
	}
	return ExitOK
}
