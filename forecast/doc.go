// Package forecast works backwards from named starts: when headroom is kept,
// when work must begin by learned run times, and whether it will be done. It
// is pure.
package forecast
