package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/fireflygate/fireflygate/outcome"
)

type callCommand struct {
	target
	method, data, key string
}

func (*callCommand) Name() string     { return "call" }
func (*callCommand) Synopsis() string { return "send one interactive request" }
func (*callCommand) Usage() string {
	return `call [-to URL] [-method M] [-data TEXT] [-key KEY] SERVICE PATH
  Sends one request to a service and prints the answer. With -key it is a
  booking: it runs at most once, however often it is sent. Exits 3 if it did not
  run, 4 if it may have.
  Example: fireflygate call -method POST -data '{"dog":7}' -key b-7 dispatch /book
`
}

func (c *callCommand) SetFlags(f *flag.FlagSet) {
	c.flags(f, localCallersURL)
	f.StringVar(&c.method, "method", http.MethodGet, "HTTP method")
	f.StringVar(&c.data, "data", "", "body")
	f.StringVar(&c.key, "key", "", "idempotency `key`")
}

func (c *callCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return usageError("call takes a service and a path")
	}
	client, err := c.client()
	if err != nil {
		return fail(err)
	}
	address := strings.TrimSuffix(c.base, "/") + "/call/" + f.Arg(0) + "/" + strings.TrimPrefix(f.Arg(1), "/")
	req, err := http.NewRequestWithContext(ctx, c.method, address, strings.NewReader(c.data))
	if err != nil {
		return fail(err)
	}
	req.Header.Set("Fireflygate-Timeout-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		fmt.Fprintln(os.Stderr, "fireflygate:", err)
		return exitCode(outcomeOfError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		fmt.Fprintln(os.Stderr, "fireflygate: incomplete response body:", err)
		return ExitUnknown
	}
	return exitCode(outcome.Parse(resp.Header.Get(outcome.Header)))
}

// outcomeOfError returns the outcome of a request without a response. If the
// connection couldn't be established, the request did not run.
func outcomeOfError(err error) outcome.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.NotRun
	}
	return outcome.Unknown
}
