package cli

import (
	"context"
	"flag"
	"os/user"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/configs"
)

// anyBase is the default of -base: the change is based on the version in force.
const anyBase = -1

type applyCommand struct {
	target
	base   int64
	dryRun bool
	author string
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "apply a settings folder to all entry hosts" }
func (*applyCommand) Usage() string {
	return `apply [-to URL] [-base N] [-dry-run] DIR
  Validates DIR and makes it the newest configuration if version N is still the
  newest. If another change was accepted first, prints its version and exits 5.
  Example: fireflygate apply -base 41 examples/bergamo
`
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f, localOperatorsURL)
	f.Int64Var(&c.base, "base", anyBase, "`version` that the change is based on; by default the one in force")
	f.BoolVar(&c.dryRun, "dry-run", false, "validate and compare only")
	f.StringVar(&c.author, "author", currentUser(), "`name` recorded with the version")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("apply takes one folder")
	}
	content, err := loadPolicy(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	if c.base == anyBase {
		current, err := configInForce(ctx, &c.target)
		if err != nil {
			return fail(err)
		}
		c.base = current.Version
	}
	client, err := c.configs()
	if err != nil {
		return fail(err)
	}
	res, err := client.Apply()(ctx, &configs.ApplyPayload{
		Base: c.base, Author: c.author, DryRun: &c.dryRun, Content: content,
	})
	if err != nil {
		return fail(err)
	}
	return printVersion(&c.target, res.(*configs.ConfigVersion))
}

func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
