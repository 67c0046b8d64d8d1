// Package forecast computes, for named events, the windows in which headroom
// is kept, when work must start given learned run times, and whether it will
// finish in time. It does no I/O and reads no clock.
package forecast
