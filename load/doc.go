// Package load sends open-loop traffic to entry hosts: requests are sent when
// they are due, whether or not earlier ones have been answered, and latency is
// measured from the time at which a request was due.
package load
