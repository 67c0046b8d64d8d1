package cli

import (
	"context"
	"flag"
	"os/user"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/configs"
)

// anyBase makes apply read the base version itself.
const anyBase = -1

type applyCommand struct {
	target
	base   int64
	dryRun bool
	author string
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "bring a settings folder into force everywhere" }
func (*applyCommand) Usage() string {
	return `apply [-to URL] [-base N] [-dry-run] DIR
  Validates DIR and makes it the newest configuration if version N is still the
  newest. Exits 5 if another change was accepted first, and tells which.
  Example: fireflygate apply -base 41 examples/bergamo
`
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f, localOperators)
	f.Int64Var(&c.base, "base", anyBase, "`version` that the change was made from; by default the one in force")
	f.BoolVar(&c.dryRun, "dry-run", false, "validate and compare only")
	f.StringVar(&c.author, "author", currentUser(), "`name` kept with the version")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("apply takes one folder")
	}
	content, err := policyOf(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	if c.base == anyBase {
		now, err := inForce(ctx, &c.target)
		if err != nil {
			return fail(err)
		}
		c.base = now.Version
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

// currentUser returns the name of the user who runs the command.
func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
