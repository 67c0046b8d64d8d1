package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// fullCPU is the CPU limit, in percent, of a run that isn't throttled.
const fullCPU = 100

// run is a job that occupies a host.
type run struct {
	spec task.Spec
	node *node
	// size is the reservation; it doesn't change during the run.
	size infra.Resources
	// peak is the largest reported usage since it was last learned.
	peak infra.Resources
	// used is the last reported usage, which is a lag old.
	used infra.Resources
	// reports counts the reports since peak was last learned.
	reports int32
	// cpuLimit is the share of its processors that the run may use, in
	// percent.
	cpuLimit int32
	// previousLimit was the limit until limitChanged.
	previousLimit int32
	limitChanged  time.Time
	// doneMS is the work done, in milliseconds.
	doneMS int64
	// started is zero if the run was adopted.
	started time.Time
	// resumed is set if the run continues an earlier one, so that its own run
	// time isn't the job's.
	resumed bool
	// requeue is set if the job is to be queued again on release.
	requeue bool
	// evictionRequested is when the eviction was requested; zero if it wasn't.
	evictionRequested time.Time
}

// milliCPU returns the last reported usage, or the reservation at the CPU
// limit if there is none.
func (r *run) milliCPU() int64 {
	if r.used.MilliCPU > 0 {
		return r.used.MilliCPU
	}
	return r.size.MilliCPU * int64(r.cpuLimit) / fullCPU
}

// fullMilliCPU returns the expected usage without a throttle.
func (r *run) fullMilliCPU() int64 {
	if r.used.MilliCPU > 0 {
		return r.used.MilliCPU * fullCPU / int64(max(r.cpuLimit, 1))
	}
	return r.size.MilliCPU
}

// cpuLimitAt returns the CPU limit at the given time.
func (r *run) cpuLimitAt(when time.Time) int32 {
	if when.Before(r.limitChanged) {
		return r.previousLimit
	}
	return r.cpuLimit
}

func (r *run) setCPULimit(now time.Time, cpuLimit int32) {
	r.previousLimit, r.limitChanged = r.cpuLimit, now
	r.cpuLimit = cpuLimit
}
