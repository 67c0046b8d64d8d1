// Package colocate decides which tasks that fill what others leave may run
// beside tasks that serve users, and what to do when a tail grows. It is pure.
//
// The load it answers is fillers in number and serving tasks on most workers:
// there is no room to keep them apart, but only some pairs of images disturb
// each other. What each pair does is learned from the tails that workers
// report (package interference); pairs that do no harm share workers, and the
// others are kept apart.
package colocate
