package dispatch_test

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/workload"
)

// Attempts to notify a host of a new owner.
const (
	noticeAttempts = 10
	noticeInterval = 500 * time.Millisecond
)

// announce notifies the other hosts of a new owner, those of earlier owners for as long
// as these may give orders.
func (s *ownerSim) announce(o *simOwner) {
	for _, h := range s.hosts {
		if h == o.host {
			continue
		}
		attempts := noticeAttempts
		for _, e := range o.earlierAt(h) {
			attempts = max(attempts, int(time.Duration(e.OrdersMS)*time.Millisecond/noticeInterval))
		}
		s.notify(o, h, attempts)
	}
}

// earlierAt returns a host's earlier owners that may give orders.
func (o *simOwner) earlierAt(h *simHost) []election.EarlierOwner {
	return slices.DeleteFunc(o.earlier.List(o.sinceStart()), func(e election.EarlierOwner) bool { return e.Stopped() || e.Host != h.name })
}

// notify notifies a host of a new owner until it answers. The host's owner of an
// earlier epoch ends, even if the answer is lost.
func (s *ownerSim) notify(o *simOwner, h *simHost, attempts int) {
	if attempts == 0 {
		return
	}
	s.after(s.between(0, testTick), func() {
		heard := h.awake(s.now) && o.host.reachesPeer(s.now, h)
		if heard {
			h.heardEpoch = max(h.heardEpoch, o.epoch)
		}
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
	o.now = s.now
	for _, e := range o.earlierAt(h) {
		o.ownerStopped(e.Epoch)
		s.tracef(workload.TaskID{}, "epoch %d hears that the owner of epoch %d has stopped", o.epoch, e.Epoch)
	}
}
