// Package trace analyzes the log lines of many hosts: the timeline of a job, the
// bottlenecks of the domain's owner and where the time of jobs went.
package trace
