package dispatch

import (
	"time"

	"github.com/fireflygate/fireflygate/closedzones"
	"github.com/fireflygate/fireflygate/workload"
)

// SetClosedZones replaces the set of closed availability zones. Their workers get no
// starts of any kind until the zones are opened; what runs there goes on. It withdraws
// the starts for them that wait to be sent, and returns their number.
func (s *State) SetClosedZones(now time.Time, closed closedzones.Set) int {
	s.closedZones = closed
	withdrawn := 0
	for _, w := range s.byID() {
		isClosed := closed.Contains(w.info.Zone)
		if isClosed {
			withdrawn += s.withdrawStarts(now, w)
		}
		if w.zoneClosed != isClosed {
			w.zoneClosed = isClosed
			s.markChanged(w)
		}
	}
	return withdrawn
}

// AllClosed reports whether all availability zones in which a queue has workers are
// closed, so that nothing of it can start. It returns false if the queue has no workers.
func (s *State) AllClosed(q workload.Queue) bool {
	if len(s.closedZones.Zones) == 0 {
		return false
	}
	closed := false
	for _, w := range s.workers {
		if !w.listed || w.info.Pool != q.Pool {
			continue
		}
		if !w.zoneClosed {
			return false
		}
		closed = true
	}
	return closed
}
