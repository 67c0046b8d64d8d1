// Package admission decides whether a new job is accepted, from the capacity that it
// would find. It does no I/O and reads no clock.
//
// It addresses a burst of 2.5 times the load while the pool is full: jobs whose results
// would come after they have expired are refused at once, so that their callers can
// do something else and the capacity goes to jobs that are still useful.
package admission
