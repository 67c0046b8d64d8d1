package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/event"
)

// errResigned is the cause of the end of an owner that resigned.
var errResigned = errors.New("resigned for a planned stop")

// resign stops issuing orders, commits changes and gives the domain up, so that
// another host can take over at once. It returns when the owner has ended. If
// the context ends first, the owner quits, and may not have given the domain up.
func (o *Owner) resign(ctx context.Context) {
	o.post(func() { o.beginResign(ctx) })
	select {
	case <-o.stopped:
	case <-ctx.Done():
		o.quit(errResigned)
		<-o.stopped
	}
}

// beginResign starts the resignation; it runs on the loop. Starts that are still queued
// are left to the next owner. If a commit is in flight, afterCommit starts the last
// commit once the former is applied. Nothing polls for that: a polling loop would take
// the processor from the commit itself.
func (o *Owner) beginResign(ctx context.Context) {
	if o.resigning {
		return
	}
	o.resigning = true
	o.state.WithdrawStarts(time.Now())
	event.ResignStarted.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Bool("commit_under_way", o.committing))
	if o.committing {
		o.afterCommit = func() { o.commitRemaining(ctx) }
		return
	}
	o.commitRemaining(ctx)
}

// commitRemaining commits one last batch of changes and then gives the domain
// up. The owner accepts no more requests. Jobs beyond maxBatchWrites that no batch has
// contained are left to the next owner; callers that wait for other changes beyond it
// get an unknown outcome.
func (o *Owner) commitRemaining(ctx context.Context) {
	now := time.Now()
	b, err := o.state.Flush(now, maxBatchWrites)
	if err != nil {
		panic("control: can't encode state: " + err.Error())
	}
	o.committing, o.closed = true, true
	o.lastCommit = now
	go func() {
		parts, err := o.commitParts(ctx, b, now)
		if err != nil {
			event.ResignFailed.Log(o.opts.Log, slog.Any("err", err))
			o.quit(errors.Wrap(err, "last commit"))
			return
		}
		o.post(func() {
			o.endOutage(true)
			o.handleCommitted(parts)
			o.released.Store(true) // its successor doesn't wait for orders after the resignation
			go o.releaseDomain(ctx)
		})
	}()
}

// releaseDomain marks the owner's row as resigned and ends this owner.
func (o *Owner) releaseDomain(ctx context.Context) {
	if err := o.committer.Resign(ctx); err != nil {
		event.ResignFailed.Log(o.opts.Log, slog.Any("err", err))
	}
	o.quit(errResigned)
}
