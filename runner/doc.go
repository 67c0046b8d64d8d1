// Package runner defines the orders that the scheduler gives to workers that
// run the tasks of stepped jobs, what workers report, and the client that
// carries both. Every order carries a fencing token; a worker ignores orders
// whose token is lower than the highest one it has seen.
package runner
