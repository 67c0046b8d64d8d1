package cli

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/configs"
)

type rollbackCommand struct {
	target
	version int64
	author  string
}

func (*rollbackCommand) Name() string     { return "rollback" }
func (*rollbackCommand) Synopsis() string { return "apply an older configuration again" }
func (*rollbackCommand) Usage() string {
	return `rollback [-to URL] -version N
  Applies the content of version N again, as a new and higher version.
  Example: fireflygate rollback -version 40
`
}

func (c *rollbackCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f, localOperatorsURL)
	f.Int64Var(&c.version, "version", 0, "`version` whose content is applied")
	f.StringVar(&c.author, "author", currentUser(), "`name` recorded with the version")
}

func (c *rollbackCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.version < 1 {
		return usageError("rollback needs -version")
	}
	current, err := configInForce(ctx, &c.target)
	if err != nil {
		return fail(err)
	}
	client, err := c.configs()
	if err != nil {
		return fail(err)
	}
	res, err := client.Rollback()(ctx, &configs.RollbackPayload{Base: current.Version, To: c.version, Author: c.author})
	if err != nil {
		return fail(err)
	}
	return printVersion(&c.target, res.(*configs.ConfigVersion))
}
