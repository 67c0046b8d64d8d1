// Package interference learns from lagged reports which batch classes slow
// which latency-critical classes down, with the uncertainty of each estimate.
// It is pure and its memory is bounded.
package interference
