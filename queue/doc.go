// Package queue orders steps that wait for workers. It does no I/O and reads
// no clock.
//
// Under overload, strict deadline order makes every job late, since jobs that
// have already missed their objective take capacity from jobs that can still
// meet it. Steps that can still meet their objective therefore go first, then
// those whose result is still useful, then the others.
package queue
