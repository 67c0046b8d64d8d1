package dispatch

import "github.com/fireflygate/fireflygate/workload"

// What the state of a job costs in bytes: by itself, for each step of an occurrence, and
// for each task with its runs.
const (
	jobBytes  = 4 << 10
	stepBytes = 512
	taskBytes = 512
)

// JobBytes returns about how much memory the state of a job needs.
func JobBytes(spec *workload.Job) int64 {
	tasks := 0
	for i := range spec.Steps {
		tasks += spec.Steps[i].Tasks
	}
	each := len(spec.Steps)*stepBytes + tasks*taskBytes
	return int64(jobBytes + len(spec.Payload) + spec.Occurrences()*each)
}

// HeldBytes returns about how much memory the state of all jobs needs, those included
// that have ended and can still be queried.
func (s *State) HeldBytes() int64 { return s.heldBytes }

// HeldBytesOf returns how much of that is for the jobs of a queue.
func (s *State) HeldBytesOf(queue string) int64 { return s.heldByQueue[queue] }

// hold counts memory that the jobs of a queue need.
func (s *State) hold(queue string, bytes int64) {
	s.heldBytes += bytes
	if s.heldByQueue[queue] += bytes; s.heldByQueue[queue] == 0 {
		delete(s.heldByQueue, queue)
	}
}

// addJob adds a job to those known.
func (s *State) addJob(j *job) {
	s.removeJob(j.spec.ID)
	s.jobs[j.spec.ID] = j
	s.hold(j.queue.Name, JobBytes(j.spec))
}

// removeJob removes a job from those known, if it is one.
func (s *State) removeJob(id string) {
	if j := s.jobs[id]; j != nil {
		delete(s.jobs, id)
		s.hold(j.queue.Name, -JobBytes(j.spec))
	}
}
