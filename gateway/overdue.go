package gateway

import (
	"time"

	"github.com/fireflygate/fireflygate/routing"
)

// sentRequests holds the exchanges whose requests were sent to an endpoint and that
// hold their slots. An endpoint that stands still may begin a request long after it was
// sent, so a slot without an answer is freed by evidence only: the answer, the end of
// the connection, or the answer to a request sent later, by which the endpoint has
// begun the earlier ones.
type sentRequests map[*exchange]struct{}

func (s sentRequests) add(x *exchange) { s[x] = struct{}{} }

func (s sentRequests) remove(x *exchange) { delete(s, x) }

// before returns the exchanges whose requests were sent before that of x.
func (s sentRequests) before(x *exchange) []*exchange {
	var earlier []*exchange
	for y := range s {
		if y.sentAt.Before(x.sentAt) {
			earlier = append(earlier, y)
		}
	}
	return earlier
}

// recordAnswer records that the endpoint has begun to answer the request. It gives up
// the requests sent earlier that have no answer MaxRun later, when the endpoint is done
// with them.
func (x *exchange) recordAnswer() {
	now := time.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.answering = true
	if x.begunBy.IsZero() {
		x.begunBy = now
	}
	for _, y := range x.client.sent.before(x) {
		if y.begunBy.IsZero() {
			y.begunBy = now
			time.AfterFunc(x.g.opt.MaxRun, y.stop)
		}
	}
}

// handleOverdue ends the caller's wait for a request without an answer in time, and
// reports the endpoint's failure. The request's connection stays open and its slot in
// use, unless no byte was sent or the endpoint has begun to answer.
func (x *exchange) handleOverdue() {
	if x.attempt.cancel() {
		x.cancel()
		return
	}
	x.g.mu.Lock()
	answering := x.answering
	if !answering {
		x.observeLocked(routing.Result{Sent: true, Failed: true})
		x.overdue = true
	}
	x.g.mu.Unlock()
	if answering {
		x.cancel()
		return
	}
	x.deliver(result{refusal: unknownOutcome(ReasonNoAnswer)})
}

// isOverdue reports whether the endpoint didn't answer in time.
func (x *exchange) isOverdue() bool {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.overdue
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
