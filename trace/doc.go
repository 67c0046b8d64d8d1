// Package trace tells the story of one job from the log lines of many hosts:
// what was decided about it, in order, and what the hosts believed meanwhile.
package trace
