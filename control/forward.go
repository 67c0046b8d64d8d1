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
	// ownerWait is how long a request waits for an owner: as long as most
	// take-overs last. After it the caller is told when to come back.
	ownerWait = 2 * time.Second
	// retryAfterTakeover is when a caller should come back that met a domain
	// without an owner.
	retryAfterTakeover = time.Second
	// forwardPause is the wait before a request is forwarded again.
	forwardPause = 100 * time.Millisecond
)

// Outcome is what callers of a Node are told.
type Outcome struct {
	Result Result
	State  workload.State
	Count  int
	// RetryAfter says, for a refusal, when to come back.
	RetryAfter time.Duration
}

// Submit hands a job in.
func (n *Node) Submit(ctx context.Context, job *workload.Job, q workload.Queue) Outcome {
	return n.route(ctx, job.ID, methodSubmit, submitRequest{Job: *job, Queue: q},
		func(o *Owner) reply { return o.submit(ctx, job, q) })
}

// State asks for a job's state.
func (n *Node) State(ctx context.Context, id string) Outcome {
	return n.route(ctx, id, methodState, jobRequest{ID: id}, func(o *Owner) reply { return o.jobState(ctx, id) })
}

// Cancel cancels a job.
func (n *Node) Cancel(ctx context.Context, id string) Outcome {
	return n.route(ctx, id, methodCancel, jobRequest{ID: id}, func(o *Owner) reply { return o.cancel(ctx, id) })
}

// Pending counts the jobs of a queue that haven't begun.
func (n *Node) Pending(ctx context.Context, queue string) Outcome {
	return n.route(ctx, queue, methodPending, pendingRequest{Queue: queue},
		func(o *Owner) reply { return o.pending(ctx, queue) })
}

// route gives a request to the owner, wherever that is, until it is answered
// or the context ends. All requests are idempotent, so one whose outcome is
// open is given again, also to the next owner. A request is refused only if
// no owner can have seen it.
func (n *Node) route(ctx context.Context, id string, m peer.Method, request any, local func(*Owner) reply) (out Outcome) {
	var v verdict
	begun := time.Now()
	defer func() { n.opts.Metrics.request(string(m), out.Result, time.Since(begun)) }()
	for {
		owner, leader, changed := n.current()
		r, maybe := reply{Result: ResultNotOwner}, false
		switch {
		case owner != nil:
			r = local(owner)
			maybe = r.Result == ResultUnknown
		case leader.Host != "":
			r, maybe = n.forward(ctx, leader.Host, m, request)
		}
		if v.take(r, maybe) {
			return Outcome{r.Result, r.State, r.Count, time.Duration(r.RetryAfterMS) * time.Millisecond}
		}
		if waited := max(time.Since(begun), n.ownerlessFor()); !v.open && waited > ownerWait {
			event.NoOwner.Log(n.opts.Log, slog.Any("id", id), slog.Any("method", m), slog.Any("waited_ms", time.Since(begun).Milliseconds()))
			return Outcome{Result: ResultRefused, RetryAfter: retryAfterTakeover}
		}
		t := time.NewTimer(forwardPause)
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			event.OutcomeOpen.Log(n.opts.Log, slog.Any("id", id), slog.Any("method", m), slog.Any("sent", v.open), slog.Any("waited_ms", time.Since(begun).Milliseconds()))
			if v.open {
				return Outcome{Result: ResultUnknown}
			}
			return Outcome{Result: ResultRefused, RetryAfter: retryAfterTakeover}
		}
	}
}

// forward sends a request to the owner. Maybe is set if it may have been
// carried out.
func (n *Node) forward(ctx context.Context, host string, m peer.Method, request any) (r reply, maybe bool) {
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

// forwardTimeout bounds one forwarding, so that a request isn't lost with a
// connection that went silent.
const forwardTimeout = 1200 * time.Millisecond
