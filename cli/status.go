package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/gen/operations"
)

type statusCommand struct{ target }

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the state of an entry host" }
func (*statusCommand) Usage() string {
	return `status [-to URL] [-json]
  Shows the state of an entry host, the shards it holds, and the configuration
  version in force on every host.
  Example: fireflygate status -to http://127.0.0.1:7101
`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) { c.flags(f, localOperatorsURL) }

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.operations()
	if err != nil {
		return fail(err)
	}
	res, err := client.Status()(ctx, nil)
	if err != nil {
		return fail(err)
	}
	s := res.(*operations.HostStatus)
	if c.json {
		return printJSON(s)
	}
	fmt.Printf("%s in %s: %s, build %s, store ok %t\n", s.Name, s.Zone, s.State, s.Build, s.StoreOK)
	fmt.Printf("endpoints %d, workers %d, pending %d, running %d\n", s.Endpoints, s.Workers, s.Pending, s.Running)
	if len(s.ClosedZones) > 0 {
		fmt.Printf("closed availability zones: %s\n", strings.Join(s.ClosedZones, ", "))
	}
	var hosts [][]string
	for name, version := range s.Peers {
		hosts = append(hosts, []string{name, fmt.Sprint(version)})
	}
	sortRows(hosts)
	printTable(os.Stdout, []string{"HOST", "CONFIG"}, hosts)
	var leases [][]string
	for _, l := range s.Leases {
		leases = append(leases, []string{l.Shard, fmt.Sprint(l.Epoch), l.Share})
	}
	printTable(os.Stdout, []string{"SHARD", "EPOCH", "SHARE"}, leases)
	return ExitOK
}
