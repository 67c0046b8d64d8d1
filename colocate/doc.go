// Package colocate decides which best-effort tasks may share a worker with
// serving tasks, and limits, pauses or migrates them when a tail latency
// grows. It is pure.
//
// It targets deployments in which serving tasks run on most workers, so that
// best-effort tasks can't be kept apart from them, and in which only some
// pairs of images interfere with each other.
//
// Decisions are based on slack, the ratio of a tail's target to the tail. A
// response time grows as 1/(1-utilization), so slack falls linearly with the
// task's own load and with the load of each neighbour. Two quantities are
// learned from reported tails: the slack that the tasks of a step have without
// interference, which they share because they share their users (SlackTrend),
// and the slack that a best-effort task of an image takes from them (package
// interference).
package colocate
