package task

import "flag"

// Rapid state machines use a fixed seed so that results are reproducible;
// -rapid.seed selects another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
