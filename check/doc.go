// Package check records the actions of callers, endpoints, workers and entry
// hosts and verifies the history against the project's guarantees. The checkers
// are pure functions of the records.
package check
