package routing

import (
	"math"
	"time"
)

// peerRateWindow is the time constant of the rate of requests served by peers:
// long enough for a stable rate, short enough to follow peers that become full
// within a typical deadline.
const peerRateWindow = time.Second

// peerRate measures the requests of one service that peers serve for this host.
type peerRate struct {
	// perSecond is the rate at the time last, an average that decays with
	// peerRateWindow.
	perSecond   float64
	last        time.Time
	serviceTime float64 // seconds, moving average
}

// observe records a request that a peer served. took is the time from its
// sending to its end.
func (r *peerRate) observe(now time.Time, took time.Duration) {
	if r.last.IsZero() {
		r.serviceTime = took.Seconds()
	}
	r.perSecond = r.rate(now) + 1/peerRateWindow.Seconds()
	r.serviceTime += latencyWeight * (took.Seconds() - r.serviceTime)
	r.last = now
}

// rate returns the requests per second that peers serve, as of now.
func (r *peerRate) rate(now time.Time) float64 {
	elapsed := max(now.Sub(r.last), 0) // a clock that stops for a pause may step back
	return r.perSecond * math.Exp(-elapsed.Seconds()/peerRateWindow.Seconds())
}
