package demo

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/load"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/standin"
)

// Traffic of the callers.
const (
	// baseRate is requests a second; at the event's start burstFactor times
	// as many come for burstLength.
	baseRate    = 250.0
	burstFactor = 8
	burstLength = time.Second
	bookings    = 0.2
	repeats     = 0.2
	maxInFlight = 2048
	callTimeout = time.Second
)

// callers sends the callers' traffic and records each request.
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
		Duration:    o.Duration,
		Bookings:    bookings,
		Repeat:      repeats,
		Timeout:     callTimeout,
		MaxInFlight: maxInFlight,
		Seed:        o.Seed,
		Prepare: func(r *http.Request, x load.Exchange) {
			r.Header.Set(standin.CallHeader, x.ID)
			recorder.Add(check.Record{Sent: &check.Sent{
				Call: x.ID, Host: names[x.Target], Digest: check.Digest(x.Body), BookingKey: x.Key,
			}})
		},
		Observe: func(x load.Exchange) { recorder.Add(check.Record{Answered: answered(x)}) },
	})
}

// answered returns what a caller saw of its request's end.
func answered(x load.Exchange) *check.Answered {
	a := &check.Answered{Call: x.ID, Outcome: x.Outcome.String()}
	if x.Outcome != outcome.Answered {
		return a
	}
	a.Echo = x.Header.Get(standin.EchoHeader)
	a.EchoCall = x.Header.Get(standin.CallHeader)
	a.Length = int64(len(x.Answer))
	a.BodyDigest = check.Digest(x.Answer)
	a.WantDigest = x.Header.Get(standin.AnswerDigestHeader)
	a.Want = a.Length
	if n, err := strconv.ParseInt(x.Header.Get("Content-Length"), 10, 64); err == nil {
		a.Want = n
	}
	return a
}
