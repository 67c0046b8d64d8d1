package workload

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

// Step is a set of identical tasks of a job.
type Step struct {
	// Tasks is the number of tasks.
	Tasks int `msgpack:"n"`
	// Needs is the resource request of each task.
	Needs infra.Resources `msgpack:"r"`
	// Estimate is the caller's estimate of one task's run time.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// After lists the indexes of earlier steps that must be done first.
	After []int `msgpack:"a,omitempty"`
	// Checkpointing tasks save their progress and can resume from it.
	Checkpointing bool `msgpack:"c,omitempty"`
	// Gang tasks run only all at once: if one ends early, all do.
	Gang bool `msgpack:"g,omitempty"`
	// SameRack is set if a gang runs several times slower when spread over
	// racks.
	SameRack bool `msgpack:"k,omitempty"`
	// Label restricts the tasks to workers that have it; empty for any.
	Label string `msgpack:"l,omitempty"`
	// DataRack is the rack that holds the tasks' data; on other racks they run
	// several times slower. Empty for none.
	DataRack string `msgpack:"d,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence on one worker; 0 for no
	// limit.
	MaxPerWorker int `msgpack:"m,omitempty"`
	// Speculative tasks may run as duplicate copies in parallel.
	Speculative bool `msgpack:"s,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted
	// whenever they end.
	LongRunning bool `msgpack:"u,omitempty"`
	// Image is the program that the tasks run. Estimates are kept by image.
	Image string `msgpack:"i,omitempty"`
	// TailTarget is the tail latency objective of a long-running task that
	// serves users; 0 for none.
	TailTarget time.Duration `msgpack:"t,omitempty"`
	// BestEffort tasks use idle processors and reserve none of a worker's CPU
	// capacity.
	BestEffort bool `msgpack:"f,omitempty"`
	// DisruptionBudget is the number of tasks of a long-running step that the
	// scheduler may make unavailable at once; -1 for no limit.
	DisruptionBudget int `msgpack:"b,omitempty"`
}

// Reserved returns the part of a worker's capacity that one task reserves.
func (s *Step) Reserved() infra.Resources {
	r := s.Needs
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

// Serving reports whether the step's tasks have a tail latency objective.
func (s *Step) Serving() bool { return s.TailTarget > 0 }

// validate checks the step, which is at the given index in its job.
func (s *Step) validate(position int) error {
	if s.Tasks <= 0 || s.Tasks > MaxTasks {
		return errors.Newf("%d tasks, want 1 to %d", s.Tasks, MaxTasks)
	}
	if s.Needs.MilliCPU < 0 || s.Needs.MemoryMB < 0 || s.Needs.Accelerators < 0 {
		return errors.New("negative resource request")
	}
	if s.Estimate < 0 || s.MaxPerWorker < 0 {
		return errors.New("negative estimate or limit per worker")
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= position {
			return errors.Newf("depends on step %d, want an earlier step", dependency)
		}
	}
	return nil
}
