package routing

import (
	"math"
	"time"
)

// relaySpan is the time over which the rate of requests that peers served is
// a mean: a second tells 10 a second from 20, and follows peers that fill up
// within the usual deadline.
const relaySpan = time.Second

// relay measures what peers do for the requests of one service that come here.
type relay struct {
	// perSecond is the rate as of last, a mean that fades with relaySpan.
	perSecond float64
	last      time.Time
	each      float64 // seconds, moving average
}

// served takes in a request that a peer served, from its sending to its end.
func (r *relay) served(now time.Time, took time.Duration) {
	if r.last.IsZero() {
		r.each = took.Seconds()
	}
	r.perSecond = r.rate(now) + 1/relaySpan.Seconds()
	r.each += latencyWeight * (took.Seconds() - r.each)
	r.last = now
}

// rate returns the requests per second that peers serve.
func (r *relay) rate(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.last).Seconds()/relaySpan.Seconds())
}
