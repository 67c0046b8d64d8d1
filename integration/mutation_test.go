package integration

import (
	"flag"
	"os"
	"os/exec"
	"strings"
	"testing"
)

var (
	withMutations = flag.Bool("mutations", false, "run TestMutations for all mutations, which takes minutes")
	mutationName  = flag.String("mutation", "", "run the tests with the programs of this mutation")
)

func mutationNamed(name string) (Mutation, bool) {
	for _, m := range Mutations() {
		if m.Name == name {
			return m, true
		}
	}
	return Mutation{}, false
}

// TestMutations runs the test of each mutation in a separate process. It must fail
// with the expected output.
func TestMutations(t *testing.T) {
	if !*withMutations {
		return
	}
	for _, m := range Mutations() {
		t.Run(m.Name, func(t *testing.T) {
			out, err := exec.Command(os.Args[0], "-test.run="+m.Test, "-mutation="+m.Name, "-test.count=1").CombinedOutput()
			failure := "nothing"
			for line := range strings.Lines(string(out)) {
				if strings.Contains(line, m.ExpectedOutput) {
					failure = strings.TrimSpace(line)
					break
				}
			}
			t.Logf("%s: %s", m.Test, failure)
			if err == nil || failure == "nothing" {
				t.Errorf("%s did not fail with the expected output: %v", m.Test, err)
			}
		})
	}
}
