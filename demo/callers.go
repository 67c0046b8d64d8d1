package demo

import (
	"context"
	"net/http"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/internal/histories"
	"github.com/fireflygate/fireflygate/load"
)

const (
	// baseRate is the number of requests per second. At the event's start the
	// rate is burstFactor times as high for burstLength.
	baseRate          = 250.0
	burstFactor       = 8
	burstLength       = time.Second
	bookingShare      = 0.2
	repeatProbability = 0.2
	maxInFlight       = 2048
	callTimeout       = time.Second
)

// callers sends the callers' traffic and records each request and its result.
func callers(ctx context.Context, o Options, b *balancer, names map[string]string, recorder *check.Recorder, burst time.Duration) load.Summary {
	return load.Run(ctx, load.Config{
		Targets: b.targets,
		Service: service,
		Path:    "/plan",
		Rate: func(since time.Duration) float64 {
			if since >= burst && since < burst+burstLength {
				return burstFactor * baseRate
			}
			return baseRate
		},
		Duration:          o.Duration,
		BookingShare:      bookingShare,
		RepeatProbability: repeatProbability,
		Timeout:           callTimeout,
		MaxInFlight:       maxInFlight,
		Seed:              o.Seed,
		Prepare: func(r *http.Request, x load.Exchange) {
			recorder.Add(histories.SentRecord(r, x, names[x.Target]))
		},
		Observe: func(x load.Exchange) { recorder.Add(histories.AnsweredRecord(x)) },
	})
}
