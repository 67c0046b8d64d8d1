// Package estimate learns the ratios of actual to declared sizes and run times
// by job class. It does no I/O, reads no clock and uses bounded memory.
package estimate
