package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/event"
	"github.com/fireflygate/fireflygate/outcome"
	"github.com/fireflygate/fireflygate/peer"
	"github.com/fireflygate/fireflygate/workload"
)

const (
	// ownerTimeout is how long a request waits for an owner, long enough for most
	// takeovers.
	ownerTimeout = 2 * time.Second
	// retryAfterTakeover is the retry delay for callers while no owner is known.
	retryAfterTakeover = time.Second
	// forwardRetryDelay is the delay before a request is forwarded again.
	forwardRetryDelay = 100 * time.Millisecond
)

// Outcome is the outcome of a caller's request.
type Outcome struct {
	Result Result
	// State is the job's state, for Node.State; Count the number of jobs, for
	// Node.Pending.
	State workload.State
	Count int
	// Reason is why the job has failed, for Node.State; empty if it hasn't.
	Reason string
	// RetryAfter is the time after which to retry a refused request.
	RetryAfter time.Duration
}

// Submit submits a job to a queue. The context's deadline is the caller's time limit,
// which bounds the retry delay of a refusal.
func (n *Node) Submit(ctx context.Context, job *workload.Job, q workload.Queue) Outcome {
	return n.route(ctx, job.ID, methodSubmit, submitRequest{Job: *job, Queue: q},
		func(o *Owner) reply { return o.submit(ctx, job, q) })
}

// State returns the state of a job.
func (n *Node) State(ctx context.Context, id string) Outcome {
	return n.route(ctx, id, methodState, jobRequest{ID: id}, func(o *Owner) reply { return o.jobState(ctx, id) })
}

// Cancel cancels a job.
func (n *Node) Cancel(ctx context.Context, id string) Outcome {
	return n.route(ctx, id, methodCancel, jobRequest{ID: id}, func(o *Owner) reply { return o.cancel(ctx, id) })
}

// Pending counts the jobs of a queue that haven't started.
func (n *Node) Pending(ctx context.Context, queue string) Outcome {
	return n.route(ctx, queue, methodPending, pendingRequest{Queue: queue},
		func(o *Owner) reply { return o.pending(ctx, queue) })
}

// route passes a request to the owner until it is answered or the context ends.
// All requests are idempotent: one with an unknown outcome is sent again, if
// need be to the next owner. A request is refused only if no owner can have
// executed it. id names the job or queue in log records; local executes the
// request if this host is the owner.
func (n *Node) route(ctx context.Context, id string, m peer.Method, request any, local func(*Owner) reply) (out Outcome) {
	var tracker outcomeTracker
	start := time.Now()
	defer func() { n.opts.Metrics.request(string(m), out.Result, time.Since(start)) }()
	for {
		if refusal, refused := n.refuseUnreachable(&tracker, request); refused {
			return refusal
		}
		owner, leader, changed := n.current()
		r, mayHaveRun := reply{Result: ResultNotOwner}, false
		switch {
		case owner != nil:
			r = local(owner)
			mayHaveRun = r.Result == ResultUnknown
		case leader.Host != "":
			r, mayHaveRun = n.forward(ctx, leader.Host, m, request)
		}
		if tracker.add(r, mayHaveRun) {
			return Outcome{
				Result: r.Result, State: r.State, Count: r.Count, Reason: r.Reason,
				RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
			}
		}
		if waited := max(time.Since(start), n.ownerlessFor()); !tracker.uncertain && waited > ownerTimeout {
			event.NoOwner.Log(n.opts.Log, slog.Any("id", id), slog.Any("method", m), slog.Any("waited_ms", time.Since(start).Milliseconds()))
			return Outcome{Result: ResultRefused, RetryAfter: retryAfterTakeover}
		}
		t := time.NewTimer(forwardRetryDelay)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			event.OutcomeUnknown.Log(n.opts.Log, slog.Any("id", id), slog.Any("method", m), slog.Any("sent", tracker.uncertain), slog.Any("waited_ms", time.Since(start).Milliseconds()))
			if tracker.uncertain {
				return Outcome{Result: ResultUnknown}
			}
			return Outcome{Result: ResultRefused, RetryAfter: retryAfterTakeover}
		}
	}
}

// forward sends a request to the owner's host. It reports whether the owner may
// have executed the request without confirming it.
func (n *Node) forward(ctx context.Context, host string, m peer.Method, request any) (r reply, mayHaveRun bool) {
	request = withTimeLimit(ctx, time.Now(), request)
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	res := n.client.Call(ctx, host, m, request, &r)
	switch res.Kind {
	case outcome.Answered:
		return r, r.Result == ResultUnknown
	case outcome.NotRun:
		return reply{Result: ResultNotOwner}, false
	default:
		return reply{Result: ResultUnknown}, true
	}
}

// forwardTimeout bounds one attempt, so that an unresponsive connection doesn't
// use up the request's time.
const forwardTimeout = 1200 * time.Millisecond
