package pace

import "time"

// stopTime and restoreTime are the longest times that a worker takes to stop a run and
// to restore a checkpoint, as the worker protocol states them.
const stopTime, restoreTime = 900 * time.Millisecond, 600 * time.Millisecond

// WorthMoving reports whether a task that saves checkpoints ends sooner if it is moved
// off a worker with the given factor. remaining is its remaining time at normal speed.
func WorthMoving(remaining time.Duration, factor float64) bool {
	return time.Duration(float64(remaining)*factor) > stopTime+restoreTime+remaining
}

// movesShare is the share of the tasks on slow workers that may move at once, so that
// the healthy workers' capacity isn't exhausted.
const movesShare = 0.1

// MovesAtOnce returns how many of the given number of tasks on slow workers may move
// at once: at least one.
func MovesAtOnce(tasks int) int { return max(1, int(movesShare*float64(tasks))) }
