// Package capacity holds the benchmarks behind docs/CAPACITY.md that belong to
// no other package: what the size of a whole site costs one entry host.
package capacity
