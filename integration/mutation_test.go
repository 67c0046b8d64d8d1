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

// mutationNamed returns a mutation.
func mutationNamed(name string) (Mutation, bool) {
	for _, m := range Mutations() {
		if m.Name == name {
			return m, true
		}
	}
	return Mutation{}, false
}

// TestMutations runs each mutation's scenario in a process of its own and
// expects it to fail with the breach.
func TestMutations(t *testing.T) {
	if !*withMutations {
		return
	}
	for _, m := range Mutations() {
		t.Run(m.Name, func(t *testing.T) {
			out, err := exec.Command(os.Args[0], "-test.run="+m.Test, "-mutation="+m.Name, "-test.count=1").CombinedOutput()
			breach := "nothing"
			for line := range strings.Lines(string(out)) {
				if strings.Contains(line, m.ExpectedOutput) {
					breach = strings.TrimSpace(line)
					break
				}
			}
			t.Logf("%s: %s", m.Test, breach)
			if err == nil || breach == "nothing" {
				t.Errorf("not caught by %s: %v", m.Test, err)
			}
		})
	}
}
