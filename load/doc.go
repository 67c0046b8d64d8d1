// Package load sends open-loop traffic to entry hosts: requests are sent when
// they are due, whether or not earlier ones have been answered, and latency is
// counted from when a request was due.
package load
