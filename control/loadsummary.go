package control

import (
	"slices"
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

// observeCapacity records the capacity after a planning cycle, and publishes the loads of
// queues to metrics and other hosts once per loadsInterval.
func (o *Owner) observeCapacity(now time.Time) {
	o.state.ObserveCapacity(now)
	last := o.loads.Load()
	if last != nil && now.Sub(last.madeAt) < loadsInterval {
		return
	}
	s := &loadSummary{at: boottime(), madeAt: now}
	o.state.Loads(now, func(queue string, l admission.Load) {
		s.Queues = append(s.Queues, queueLoad{Queue: queue, Ahead: l.Ahead, Late: l.Late, Rate: l.Rate, Full: l.Full})
	})
	if last != nil && !slices.EqualFunc(last.Queues, s.Queues, func(a, b queueLoad) bool { return a.Queue == b.Queue }) {
		o.opts.Metrics.clearLoads() // of queues to which admission no longer applies
	}
	for i := range s.Queues {
		o.opts.Metrics.setQueueLoad(&s.Queues[i])
	}
	o.loads.Store(s)
}

// toldLoads returns the loads of queues for an answer to a ping, nil if there are none.
func (o *Owner) toldLoads() *loadSummary {
	s := o.loads.Load()
	if s == nil || len(s.Queues) == 0 {
		return nil
	}
	return &loadSummary{Queues: s.Queues, AgeMS: (boottime() - s.at).Milliseconds()}
}
