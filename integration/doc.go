// Package integration proves the promises with real processes. A Site starts
// one process of stand-ins and a number of entry hosts, all on loopback
// addresses. Everything that an entry host reaches it reaches through a fault
// proxy of its own, which runs in the test process:
//
//	caller ──> entry host i ──proxy──> table, objects, members
//	                        ──proxy──> each peer
//	                        ──proxy──> each endpoint and worker
//
// A link is named by the entry host and what it reaches, as in
// site.Link("gate-1", "table").Set(faultproxy.Faults{Refuse: true}); the far
// end of a peer link is the peer's name. Each entry host reads the membership
// list with the proxies' addresses in place of the true ones.
//
// Callers run in the test process and record what they sent and were
// answered; the stand-ins record what endpoints and workers did. Site.Check
// merges both histories by time, which is of one machine's clock, and checks
// them with package check.
//
// A scenario orders its steps by conditions, with Site.Until; a timeout only
// bounds it. Processes are stopped by their id when the test ends.
//
// Mutations break one mechanism each: a text in a source file is replaced for
// the build alone (go build -overlay). Run
//
//	go test ./integration -run TestMutations -mutations
//
// to see that each breach is caught. A longer run of random faults is
//
//	make soak SEED=1 COUNT=20
package integration
