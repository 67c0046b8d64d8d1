package workload

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

// Step is a set of like tasks of a job.
type Step struct {
	// Tasks is how many tasks the step has.
	Tasks int `msgpack:"n"`
	// Needs is what each task requests.
	Needs infra.Resources `msgpack:"r"`
	// Estimate is the caller's rough estimate of one task's run time.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `msgpack:"a,omitempty"`
	// Checkpointing tasks save their progress and can resume from it.
	Checkpointing bool `msgpack:"c,omitempty"`
	// Gang tasks work only together and end together.
	Gang bool `msgpack:"g,omitempty"`
	// SameRack tasks of a gang run several times longer when spread over
	// racks.
	SameRack bool `msgpack:"k,omitempty"`
	// Label must be among a worker's labels; empty for any worker.
	Label string `msgpack:"l,omitempty"`
	// DataRack is the rack that holds the tasks' data; elsewhere they run
	// several times longer. Empty for none.
	DataRack string `msgpack:"d,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; 0 for no
	// bound.
	MaxPerWorker int `msgpack:"m,omitempty"`
	// Speculative tasks may have copies that run in parallel.
	Speculative bool `msgpack:"s,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted
	// however they end.
	LongRunning bool `msgpack:"u,omitempty"`
	// Image names what the tasks run; tasks of an image behave alike.
	Image string `msgpack:"i,omitempty"`
	// TailTarget bounds the tail of the response times of a long-running task
	// that serves users of its own; 0 for none.
	TailTarget time.Duration `msgpack:"t,omitempty"`
	// BestEffort tasks take the processors that other tasks leave unused; their
	// processors aren't counted against a worker's capacity.
	BestEffort bool `msgpack:"f,omitempty"`
	// DisruptionBudget is how many tasks of a long-running step may be
	// unavailable at once through the scheduler's own orders; -1 for no bound.
	DisruptionBudget int `msgpack:"b,omitempty"`
}

// Reserved returns what a task of the step takes from a worker's capacity.
func (s *Step) Reserved() infra.Resources {
	r := s.Needs
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

// Serving reports whether the step's tasks serve users under a tail target.
func (s *Step) Serving() bool { return s.TailTarget > 0 }

// validate checks the step at the given position in its job.
func (s *Step) validate(position int) error {
	if s.Tasks <= 0 {
		return errors.Newf("%d tasks, want at least 1", s.Tasks)
	}
	if s.Needs.MilliCPU < 0 || s.Needs.MemoryMB < 0 || s.Needs.Accelerators < 0 {
		return errors.New("negative needs")
	}
	if s.Estimate < 0 || s.MaxPerWorker < 0 {
		return errors.New("negative estimate or bound per worker")
	}
	for _, before := range s.After {
		if before < 0 || before >= position {
			return errors.Newf("depends on step %d, want an earlier one", before)
		}
	}
	return nil
}
