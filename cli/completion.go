package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
)

// completionCommand prints a completion that is made from the registered
// commands, so it needs no upkeep of its own.
type completionCommand struct {
	commander *subcommands.Commander
}

func (*completionCommand) Name() string     { return "completion" }
func (*completionCommand) Synopsis() string { return "print completion for a shell" }
func (*completionCommand) Usage() string {
	return `completion bash
  Prints completion of commands and flags for a shell; source it.
  Example: fireflygate completion bash > /etc/bash_completion.d/fireflygate
`
}

func (*completionCommand) SetFlags(*flag.FlagSet) {}

func (c *completionCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || f.Arg(0) != "bash" {
		return usage("completion takes the shell: bash")
	}
	if _, err := fmt.Fprint(os.Stdout, bashCompletion(c.commander)); err != nil {
		return fail(err)
	}
	return ExitOK
}
