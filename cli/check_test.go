package cli

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/subcommands"
)

// TestCheckExitCodes checks the exit codes for valid, invalid and missing folders.
func TestCheckExitCodes(t *testing.T) {
	bad := t.TempDir()
	if err := os.WriteFile(filepath.Join(bad, "10.toml"), []byte("[calls]\nqeue = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for dir, want := range map[string]subcommands.ExitStatus{
		"../examples/bergamo": ExitOK,
		"../examples/napojex": ExitOK,
		bad:                   ExitUsage,
		bad + "/none":         ExitFailed,
	} {
		c := &checkCommand{}
		f := flag.NewFlagSet("check", flag.ContinueOnError)
		c.SetFlags(f)
		if err := f.Parse([]string{"-json", dir}); err != nil {
			t.Fatal(err)
		}
		if got := c.Execute(context.Background(), f); got != want {
			t.Errorf("%s: exit %d, want %d", dir, got, want)
		}
	}
}
