// Package pace finds the workers of a pool that run tasks slowly while they report
// that they are healthy. It is pure: times are passed in.
//
// Evidence is a slowdown: how many times as long something took as the same thing
// takes on the worker's peers. It comes from the progress and the ends of runs and
// from the tails of serving tasks. Since one run in 33 takes seven times as long by
// itself, a worker counts as slow only once several independent observations make
// that far more likely than chance (see Worker). Slowdowns are compared with the
// median of the pool, so that no worker counts as slow if all are.
package pace
