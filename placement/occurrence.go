package placement

import (
	"time"

	"github.com/fireflygate/fireflygate/task"
)

// maxOccurrences bounds the occurrences whose progress is kept; beyond it the
// oldest is dropped.
const maxOccurrences = 256

// occurrence identifies one start of an event.
type occurrence struct {
	event string
	unix  int64
}

// progress counts the finished jobs of an occurrence.
type progress struct {
	done int
	late int
}

// countDone records a finished job of an event.
func (s *Scheduler) countDone(now time.Time, spec task.Spec) {
	start, ok := s.occurrenceStart(spec)
	if !ok {
		return
	}
	p := s.progressOf(occurrence{event: spec.Event, unix: start.Unix()})
	p.done++
	if now.UnixMilli() > s.dueUnixMS(spec) {
		p.late++
	}
}

func (s *Scheduler) progressOf(o occurrence) *progress {
	p, known := s.progress[o]
	if known {
		return p
	}
	if len(s.progress) >= maxOccurrences {
		s.forgetOldest()
	}
	p = &progress{}
	s.progress[o] = p
	return p
}

func (s *Scheduler) forgetOldest() {
	var oldest occurrence
	for o := range s.progress {
		earlier := o.unix < oldest.unix || (o.unix == oldest.unix && o.event < oldest.event)
		if oldest.event == "" || earlier {
			oldest = o
		}
	}
	delete(s.progress, oldest)
}
