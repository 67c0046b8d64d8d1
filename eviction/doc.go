// Package eviction decides when a batch task that slows a latency-critical
// class is throttled, evicted or left alone. It does no I/O and reads no
// clock.
package eviction
