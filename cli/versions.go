package cli

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/configs"
)

type versionsCommand struct{ target }

func (*versionsCommand) Name() string     { return "versions" }
func (*versionsCommand) Synopsis() string { return "list accepted configurations" }
func (*versionsCommand) Usage() string {
	return `versions [-to URL] [-json]
  Lists accepted configurations, newest first, with the keys that each changed.
  Example: fireflygate versions
`
}

func (c *versionsCommand) SetFlags(f *flag.FlagSet) { c.flags(f, localOperatorsURL) }

func (c *versionsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.configs()
	if err != nil {
		return fail(err)
	}
	res, err := client.Versions()(ctx, nil)
	if err != nil {
		return fail(err)
	}
	list := res.([]*configs.ConfigVersion)
	if c.json {
		return printJSON(list)
	}
	var rows [][]string
	for _, v := range list {
		rows = append(rows, versionRow(v))
	}
	printTable(os.Stdout, []string{"VERSION", "APPLIED", "AUTHOR", "HASH", "DIFFERS"}, rows)
	return ExitOK
}
