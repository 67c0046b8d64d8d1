package control

import (
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/closedzones"
	"github.com/fireflygate/fireflygate/event"
)

// SetClosedZones applies a set of closed zones read from the store, unless a newer one
// is known. Hosts tell each other their sets with pings, so that an owner which can't
// read the store learns of a change from the hosts that can, and its successor from it.
func (n *Node) SetClosedZones(s closedzones.Set) { n.setClosedZones(s, "") }

// ClosedZones returns the newest set of closed zones known to this host.
func (n *Node) ClosedZones() closedzones.Set {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closedZones
}

// setClosedZones is SetClosedZones for a set told by another host, or read from the
// store if from is empty.
func (n *Node) setClosedZones(s closedzones.Set, from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !s.NewerThan(n.closedZones) {
		return
	}
	changed := !s.SameZones(n.closedZones)
	n.closedZones = s
	if !changed {
		return
	}
	event.ZonesChanged.Log(n.opts.Log, slog.Any("zones", s.Zones), slog.Uint64("version", s.Version), slog.String("from", from))
	n.opts.Metrics.zonesClosed.Set(float64(len(s.Zones)))
	if o := n.owner; o != nil {
		go o.post(o.updateClosedZones)
	}
}

// updateClosedZones applies the newest set of closed zones at the owner, which reads it
// itself: posted functions may run in any order.
func (o *Owner) updateClosedZones() {
	withdrawn := o.state.SetClosedZones(time.Now(), o.closedZones())
	o.opts.Metrics.startsHeldBack.Add(float64(withdrawn))
}

// toldClosedZones returns a set for a ping, nil if there is nothing to tell.
func toldClosedZones(s closedzones.Set) *closedzones.Set {
	if s.Version == 0 {
		return nil
	}
	return &s
}

// hearClosedZones applies the set of a ping from a host.
func (n *Node) hearClosedZones(s *closedzones.Set, from string) {
	if s != nil {
		n.setClosedZones(*s, from)
	}
}
