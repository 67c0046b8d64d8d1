package gateway

import (
	"context"
	"time"
)

// answerGrace is how long after a pause of this process an answer is still awaited
// past its deadline. It exceeds the time that the process needs to read what arrived
// during the pause.
const answerGrace = 250 * time.Millisecond

// giveUpAt returns when to stop waiting for the answer to a request that was sent at
// sent: at its deadline, but not before answerGrace has passed since the last pause of
// this process, given by its end. Timers that expired during a pause fire before
// answers that arrived during it are read.
func giveUpAt(sent, deadline, resumed time.Time) time.Time {
	if !resumed.After(sent) {
		return deadline
	}
	if read := resumed.Add(answerGrace); read.After(deadline) {
		return read
	}
	return deadline
}

// giveUpAt returns when to stop waiting for the answer to a request.
func (g *Gateway) giveUpAt(sent, deadline time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return giveUpAt(sent, deadline, g.pauses.ResumedAt(time.Now()))
}

// answerContext is the context of a wait for an answer. It ends when the wait ends,
// which after a pause of the process is later than its deadline.
type answerContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c answerContext) Deadline() (time.Time, bool) { return c.deadline, true }

// withAnswerDeadline returns a context that ends when the wait for an answer, which
// begins now, is to be given up.
func (g *Gateway) withAnswerDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	sent := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(time.Until(deadline), func() {
		time.AfterFunc(time.Until(g.giveUpAt(sent, deadline)), cancel)
	})
	return answerContext{ctx, deadline}, func() {
		timer.Stop()
		cancel()
	}
}
