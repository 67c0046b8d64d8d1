// Package capacity contains the benchmarks of docs/CAPACITY.md that don't belong
// to a single package. They measure the cost of a site's size for one entry host.
package capacity
