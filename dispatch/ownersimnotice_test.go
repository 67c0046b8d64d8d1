package dispatch_test

import (
	"time"

	"github.com/fireflygate/fireflygate/workload"
)

// Attempts to notify a host of a new owner.
const (
	noticeAttempts = 10
	noticeInterval = 500 * time.Millisecond
)

// announce notifies the other hosts of a new owner.
func (s *ownerSim) announce(o *simOwner) {
	for _, h := range s.hosts {
		if h != o.host {
			s.notify(o, h, noticeAttempts)
		}
	}
}

// notify notifies a host of a new owner until it answers. The host's owner of an
// earlier epoch ends, even if the answer is lost.
func (s *ownerSim) notify(o *simOwner, h *simHost, attempts int) {
	if attempts == 0 {
		return
	}
	s.after(s.between(0, testTick), func() {
		heard := h.awake(s.now) && o.host.reachesPeer(s.now, h)
		if heard && h.owner != nil && h.owner.epoch < o.epoch {
			s.deposed(h.owner, "notified of another owner")
		}
		if heard && !s.chance(lostNoticeAnswer) {
			s.after(s.between(0, testTick), s.onOwner(o, func() { s.earlierHostAnswered(o, h) }))
			return
		}
		s.after(noticeInterval, s.onOwner(o, func() { s.notify(o, h, attempts-1) }))
	})
}

// earlierHostAnswered tells an owner that another host has answered its notice: no
// earlier owner gives orders there any more.
func (s *ownerSim) earlierHostAnswered(o *simOwner, h *simHost) {
	if o.previous.Host != h.name {
		return
	}
	awaited := o.state.PredecessorStopped(s.now)
	s.tracef(workload.TaskID{}, "epoch %d hears that %s, the owner before, has stopped; %d workers are awaited", o.epoch, h.name, awaited)
}
