package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

type drainCommand struct{ target }

func (*drainCommand) Name() string     { return "drain" }
func (*drainCommand) Synopsis() string { return "stop an entry host without aborting requests" }
func (*drainCommand) Usage() string {
	return `drain [-to URL]
  Makes an entry host hand over its shards, finish requests in flight and exit.
  Example: fireflygate drain -to http://127.0.0.1:7101
`
}

func (c *drainCommand) SetFlags(f *flag.FlagSet) { c.flags(f, localOperatorsURL) }

func (c *drainCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.operations()
	if err != nil {
		return fail(err)
	}
	if _, err := client.Drain()(ctx, nil); err != nil {
		return fail(err)
	}
	fmt.Println("draining")
	return ExitOK
}
