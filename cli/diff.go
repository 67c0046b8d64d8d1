package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/configstore"
)

type diffCommand struct{ target }

func (*diffCommand) Name() string { return "diff" }
func (*diffCommand) Synopsis() string {
	return "compare a settings folder with the configuration in force"
}

func (*diffCommand) Usage() string {
	return `diff [-to URL] DIR
  Lists the keys in which DIR differs from the configuration in force.
  Example: fireflygate diff -to http://127.0.0.1:7101 examples/bergamo
`
}

func (c *diffCommand) SetFlags(f *flag.FlagSet) { c.flags(f, localOperatorsURL) }

func (c *diffCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("diff takes one folder")
	}
	content, err := loadPolicy(f.Arg(0))
	if err != nil {
		return fail(err)
	}
	current, err := configInForce(ctx, &c.target)
	if err != nil {
		return fail(err)
	}
	keys := configstore.ChangedKeys(current.Content, content)
	if c.json {
		return printJSON(keys)
	}
	fmt.Printf("version %d is in force; %d keys differ\n", current.Version, len(keys))
	for _, key := range keys {
		fmt.Println("  " + key)
	}
	return ExitOK
}
