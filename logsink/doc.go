// Package logsink writes structured logs without ever blocking whoever logs.
//
// The load it answers is a host in trouble: each request fails in the same way
// and says so, while the reader of standard output may have stopped reading.
// Lines of routine (one a request, start or end) share a budget a second.
// Lines that tell a change of what the host believes have a reserve that
// routine can't use up. Equal lines within a second are folded into one with a
// count. Encoded lines wait in a bounded queue for one writer, and what finds
// it full is dropped. What was dropped is counted and said once a second.
package logsink
