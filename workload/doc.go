// Package workload defines the jobs that callers submit: steps of tasks with
// dependencies, the needs of each task, and the names of tasks. It is pure.
package workload
