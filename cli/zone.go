package cli

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/configs"
)

type zoneCommand struct {
	target
	author string
}

func (*zoneCommand) Name() string     { return "zone" }
func (*zoneCommand) Synopsis() string { return "close or open an availability zone" }
func (*zoneCommand) Usage() string {
	return `zone [-to URL] close|open ZONE
  Closes an availability zone on all entry hosts: workers there start no tasks and
  endpoints get no requests, until it is opened. What runs there goes on.
  Example: fireflygate zone close longuelo
`
}

func (c *zoneCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f, localOperatorsURL)
	f.StringVar(&c.author, "author", currentUser(), "`name` recorded with the version")
}

func (c *zoneCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 || (f.Arg(0) != "close" && f.Arg(0) != "open") {
		return usageError("zone takes close or open, and one availability zone")
	}
	client, err := c.configs()
	if err != nil {
		return fail(err)
	}
	change := client.OpenZone()
	if f.Arg(0) == "close" {
		change = client.CloseZone()
	}
	res, err := change(ctx, &configs.ZoneChange{Zone: f.Arg(1), Author: c.author})
	if err != nil {
		return fail(err)
	}
	return printVersion(&c.target, res.(*configs.ConfigVersion))
}
