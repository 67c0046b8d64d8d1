package control

import (
	"time"

	"github.com/fireflygate/fireflygate/admission"
)

// loadsInterval is the interval at which the owner publishes the loads of queues. It is
// short compared with the interval of the pings that carry them.
const loadsInterval = 100 * time.Millisecond

// queueLoad is the load of one queue, as the owner reports it to other hosts.
type queueLoad struct {
	Queue string `msgpack:"q"`
	// Ahead and Late are in core-milliseconds, Rate in core-milliseconds per second.
	Ahead int64   `msgpack:"a,omitempty"`
	Late  int64   `msgpack:"l,omitempty"`
	Rate  float64 `msgpack:"r,omitempty"`
	Full  bool    `msgpack:"f,omitempty"`
}

// load returns the input to admission.Decide.
func (l *queueLoad) load() admission.Load {
	return admission.Load{Ahead: l.Ahead, Late: l.Late, Rate: l.Rate, Full: l.Full}
}

// loadSummary is the owner's summary of the loads of queues.
type loadSummary struct {
	Queues []queueLoad `msgpack:"q"`
	// AgeMS is the age of the summary at the owner, in milliseconds.
	AgeMS int64 `msgpack:"a"`
	// at is the boottime of the summary, madeAt the time of the planning cycle that made it.
	at     time.Duration
	madeAt time.Time
}

// observeCapacity records the capacity after a planning cycle, and once per loadsInterval
// publishes the loads of queues in full pools to other hosts. By other loads nothing is
// refused, and a configuration may have many queues.
func (o *Owner) observeCapacity(now time.Time) {
	o.state.ObserveCapacity(now)
	if last := o.loads.Load(); last != nil && now.Sub(last.madeAt) < loadsInterval {
		return
	}
	s := &loadSummary{at: boottime(), madeAt: now}
	o.state.Loads(now, func(queue string, l admission.Load) {
		if l.Known() {
			s.Queues = append(s.Queues, queueLoad{Queue: queue, Ahead: l.Ahead, Late: l.Late, Rate: l.Rate, Full: l.Full})
		}
	})
	o.loads.Store(s)
}

// recordLoads sets the gauges of the loads of queues, and clears those of queues that have
// no load any more.
func (o *Owner) recordLoads(now time.Time) {
	o.opts.Metrics.clearLoads()
	o.state.Loads(now, func(queue string, l admission.Load) {
		if l.Ahead > 0 {
			o.opts.Metrics.setQueueLoad(queue, l)
		}
	})
}

// toldLoads returns the loads of queues for an answer to a ping, nil if there are none.
func (o *Owner) toldLoads() *loadSummary {
	s := o.loads.Load()
	if s == nil || len(s.Queues) == 0 {
		return nil
	}
	return &loadSummary{Queues: s.Queues, AgeMS: (boottime() - s.at).Milliseconds()}
}
