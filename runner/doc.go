// Package runner defines the protocol between the scheduler and the workers
// that run the tasks of stepped jobs: orders, reports and the client interface.
// Every order has a fencing token; a worker ignores orders whose token is lower
// than the highest one it has seen.
package runner
