package integration

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fireflygate-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if built, err = build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// build builds the programs, with the mutation of the flag -mutation if it is set.
func build(dir string) (Programs, error) {
	if *mutationName == "" {
		return Build(dir)
	}
	m, ok := mutationNamed(*mutationName)
	if !ok {
		return Programs{}, errors.Newf("flag -mutation: no mutation is named %q", *mutationName)
	}
	return BuildMutant(dir, m)
}
