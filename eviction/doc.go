// Package eviction decides when a batch task that hurts a latency-critical
// class is throttled, evicted or let be. It is pure.
package eviction
