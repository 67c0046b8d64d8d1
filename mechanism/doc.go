// Package mechanism names the parts of the scheduling policy that experiments
// can disable one by one to measure their effect. In production all of them are
// enabled.
package mechanism
