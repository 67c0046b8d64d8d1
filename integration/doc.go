// Package integration tests the project's promises with real processes. A Site
// starts one process of stand-ins and several entry hosts on loopback addresses.
// Each entry host connects to everything through its own fault proxies, which run
// in the test process:
//
//	caller ──> entry host i ──proxy──> table, objects, members
//	                        ──proxy──> each peer
//	                        ──proxy──> each endpoint and worker
//
// A link is identified by the names of the entry host and the service or member
// that it connects to, as in
// site.Link("gate-1", "table").SetFaults(faultproxy.Faults{Refuse: true}). Each
// entry host receives the membership list with the addresses of its proxies.
//
// Callers run in the test process and record requests and answers; the stand-ins
// record the actions of endpoints and workers. Site.Check merges both histories by
// time and checks them with package check. All processes must run on one machine,
// so that their clocks agree.
//
// Tests synchronize on conditions, with Site.WaitUntil, rather than on time.
// Processes are stopped by their process ID when the test ends.
//
// Each mutation breaks one mechanism: it replaces a text in a source file for the
// build only (go build -overlay). Run
//
//	go test ./integration -run TestMutations -mutations
//
// to verify that the tests detect each of them. To run random faults for longer, use
//
//	make soak SEED=1 COUNT=20
package integration
