// Package workload defines the jobs that callers submit: steps of tasks, their
// dependencies and resource requests, and the identifiers of steps and tasks.
// It performs no I/O.
package workload
