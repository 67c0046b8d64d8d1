// Package estimate learns by job class how far declared sizes and run times
// are from the truth. It is pure and its memory is bounded.
package estimate
