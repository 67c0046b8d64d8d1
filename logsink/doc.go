// Package logsink writes structured logs without blocking the logging goroutine,
// also when many requests fail at once and nobody reads standard output.
//
// Routine lines (logged for each request, task start or task end) are rate
// limited. Other lines have a reserve that routine lines can't use. Equal lines
// within a second are folded into one line with a repeat count. Encoded lines wait
// in a bounded queue for a single writer; lines that find the queue full are
// dropped. Dropped lines are counted and reported once a second.
package logsink
