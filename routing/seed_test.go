package routing

import "flag"

// Property-based tests start from a fixed seed, so that every run has the same
// result; -rapid.seed sets another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
