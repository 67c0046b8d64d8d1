package dispatch

// Stats counts decisions since the State was created.
type Stats struct {
	Accepted, Completed, Failed          uint64
	Starts, StartsRefused, StartsUnknown uint64
	// GivenUp counts jobs that failed because workers crashed under a task.
	GivenUp                                                    uint64
	Done, FailedRuns, StoppedRuns, LostRuns                    uint64
	ExpiredRuns, Copies, Evictions, Preempted, BestEffortMoved uint64
	// ServingMovedOffSlow and BestEffortMovedOffSlow count runs stopped since their
	// worker is slow, SlowCopies those of Copies that were started for that reason.
	ServingMovedOffSlow, BestEffortMovedOffSlow, SlowCopies uint64
	// LimitedStarts counts best-effort runs started at a low CPU limit.
	LimitedStarts uint64
	// Reclaimed counts the runs stopped for queues below their guaranteed shares,
	// ReclaimedMilliCPU their requested processors, in thousandths of a core.
	Reclaimed, ReclaimedMilliCPU uint64
}
