package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/subcommands"
)

// validSettings are settings that pass validation.
const validSettings = `
node_name = "edge-1"
orders = "invoke"
[bind_addrs]
frontend = "127.0.0.1:0"
readiness = "127.0.0.1:0"
control_plane = "127.0.0.1:0"
[bounds]
grace_s = 6
hold_max_ms = 10000
status_s = 120
[platform]
address = "127.0.0.1:1"
form = "table"
`

// TestServeRefusesWrongFlags checks that invalid flags are reported as a usage
// error.
func TestServeRefusesWrongFlags(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "local.toml")
	if err := os.WriteFile(settings, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	for _, args := range [][]string{
		{"-settings", settings, "-log-lines", "0"}, {"-settings", settings, "-log-lines", "-5"}, {"-settings", ""},
	} {
		c := &serveCommand{}
		f := flag.NewFlagSet("serve", flag.ContinueOnError)
		c.SetFlags(f)
		if err := f.Parse(args); err != nil {
			t.Fatal(err)
		}
		if got := c.Execute(stopped, f); got != subcommands.ExitUsageError {
			t.Errorf("%v: exit code %d, want %d", args, got, subcommands.ExitUsageError)
		}
	}
}
