// Package overload tells from the planning cycles of an owner that it is short of processor,
// and bounds the work of its cycles while it is. It does no I/O and reads no clock.
//
// The time from the beginning of one cycle to that of the next is a multiple of what a
// cycle takes, and a task that arrives waits that long. Without a bound, cycles that place
// long work delay short work by as much, and the later a cycle is the more work it finds.
package overload
