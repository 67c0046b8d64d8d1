// Package interference learns from delayed reports how much each batch class
// slows each latency-critical class, with the uncertainty of each estimate. It
// does no I/O, reads no clock and uses bounded memory.
package interference
