package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/task"
)

// fullSpeed is the percentage of a run that is not throttled.
const fullSpeed = 100

// run is a job that occupies a host.
type run struct {
	spec task.Spec
	node *node
	// size is what was reserved; it does not change during the run.
	size infra.Resources
	// peak is the most that it was seen to use since it was last learned.
	peak infra.Resources
	// used is what it was last seen to use; it lags.
	used infra.Resources
	// reports counts reports since peak was last learned.
	reports int32
	// percent is the share of its processors that it has; 100 in full.
	percent int32
	// before is the percentage that it had until changed.
	before  int32
	changed time.Time
	// doneMS is the work that it has done.
	doneMS int64
	// started is zero when the run was adopted.
	started time.Time
	// resumed is set when it went on from an earlier run, so that its own
	// time is not the job's.
	resumed bool
	// requeue is set when the job is to be queued again on release.
	requeue bool
	// evicting is when its eviction was asked for; zero if it was not.
	evicting time.Time
}

// milliCPU is what it was last seen to use, or reserves if it was not seen
// yet.
func (r *run) milliCPU() int64 {
	if r.used.MilliCPU > 0 {
		return r.used.MilliCPU
	}
	return r.size.MilliCPU * int64(r.percent) / fullSpeed
}

// fullMilliCPU is what it would use if it were not throttled.
func (r *run) fullMilliCPU() int64 {
	if r.used.MilliCPU > 0 {
		return r.used.MilliCPU * fullSpeed / int64(max(r.percent, 1))
	}
	return r.size.MilliCPU
}

// percentAt is the percentage that it had at a time.
func (r *run) percentAt(when time.Time) int32 {
	if when.Before(r.changed) {
		return r.before
	}
	return r.percent
}

// throttle changes its percentage.
func (r *run) throttle(now time.Time, percent int32) {
	r.before, r.changed = r.percent, now
	r.percent = percent
}
