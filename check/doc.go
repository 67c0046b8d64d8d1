// Package check records what callers, endpoints, workers and entry hosts did
// and checks the history against the promises. The checkers are pure: they
// look only at records.
package check
