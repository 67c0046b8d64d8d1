package control

import (
	"time"

	"github.com/fireflygate/fireflygate/admission"
)

// loadsInterval is the interval at which the owner publishes the loads of queues. It is
// short compared with the interval of the pings that carry them.
const loadsInterval = 100 * time.Millisecond

// classLoad is the load of one class of queues, as the owner reports it to other hosts.
type classLoad struct {
	Pool     string `msgpack:"p"`
	Priority int    `msgpack:"n"`
	// Ahead and Late are in core-milliseconds, Rate in core-milliseconds per second.
	Ahead int64   `msgpack:"a,omitempty"`
	Late  int64   `msgpack:"l,omitempty"`
	Rate  float64 `msgpack:"r,omitempty"`
	Full  bool    `msgpack:"f,omitempty"`
}

// load returns the input to admission.Decide.
func (l *classLoad) load() admission.Load {
	return admission.Load{Ahead: l.Ahead, Late: l.Late, Rate: l.Rate, Full: l.Full}
}

// class returns the class that the load is of.
func (l *classLoad) class() admission.Class {
	return admission.Class{Pool: l.Pool, Priority: l.Priority}
}

// loadSummary is the owner's summary of the loads of queues, by class: each answer to a ping
// carries it, and a configuration may have thousands of queues.
type loadSummary struct {
	Classes []classLoad `msgpack:"c"`
	// AgeMS is the age of the summary at the owner, in milliseconds.
	AgeMS int64 `msgpack:"a"`
	// at is the boottime of the summary, madeAt the time of the planning cycle that made it.
	at     time.Duration
	madeAt time.Time
}

// observeCapacity records the capacity after a planning cycle, and once per loadsInterval
// publishes the loads of queues in full pools to other hosts. By other loads nothing is
// refused.
func (o *Owner) observeCapacity(now time.Time) {
	o.state.ObserveCapacity(now)
	if last := o.loads.Load(); last != nil && now.Sub(last.madeAt) < loadsInterval {
		return
	}
	s := &loadSummary{at: boottime(), madeAt: now}
	o.state.Loads(now, func(c admission.Class, l admission.Load) {
		if l.Known() {
			s.Classes = append(s.Classes, classLoad{
				Pool: c.Pool, Priority: c.Priority, Ahead: l.Ahead, Late: l.Late, Rate: l.Rate, Full: l.Full,
			})
		}
	})
	o.loads.Store(s)
}

// recordLoads sets the gauges of the loads of classes of queues, and clears those of classes
// that have no load any more.
func (o *Owner) recordLoads(now time.Time) {
	o.opts.Metrics.clearLoads()
	o.state.Loads(now, func(c admission.Class, l admission.Load) {
		if l.Ahead > 0 {
			o.opts.Metrics.setLoadOf(c, l)
		}
	})
}

// toldLoads returns the loads of queues for an answer to a ping, nil if there are none.
func (o *Owner) toldLoads() *loadSummary {
	s := o.loads.Load()
	if s == nil || len(s.Classes) == 0 {
		return nil
	}
	return &loadSummary{Classes: s.Classes, AgeMS: (boottime() - s.at).Milliseconds()}
}
