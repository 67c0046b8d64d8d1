package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/event"
)

// errResigned ends an owner that was asked to stop.
var errResigned = errors.New("resigned for a planned stop")

// resign stops giving orders, makes durable what isn't, and gives the domain
// up, so that another host takes over at once. It returns when the owner has
// ended, and with the context at the latest.
func (o *Owner) resign(ctx context.Context) {
	o.post(func() { o.beginResign(ctx) })
	select {
	case <-o.stopped:
	case <-ctx.Done():
		o.quit(errResigned)
		<-o.stopped
	}
}

// beginResign runs on the loop. A commit that is under way is followed by the
// last one when its outcome comes. Nothing asks for that outcome meanwhile: a
// loop that asked itself kept one processor busy, 211,377 turns in 1.7 s, and
// neither callers nor the commit itself got an answer.
func (o *Owner) beginResign(ctx context.Context) {
	if o.resigning {
		return
	}
	o.resigning = true
	event.ResignBegun.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Bool("commit_under_way", o.committing))
	if o.committing {
		o.afterCommit = func() { o.commitRest(ctx) }
		return
	}
	o.commitRest(ctx)
}

// commitRest makes durable what isn't and then gives the domain up. What comes
// after it is not taken in any more.
func (o *Owner) commitRest(ctx context.Context) {
	b, err := o.state.Flush(time.Now(), batchWrites)
	if err != nil {
		panic("control: state can't be encoded: " + err.Error())
	}
	o.committing, o.closed = true, true
	go func() {
		if err := o.committer.Commit(ctx, b.Writes); err != nil {
			event.ResignFailed.Log(o.opts.Log, slog.Any("err", err))
			o.quit(errors.Wrap(err, "last commit"))
			return
		}
		o.post(func() {
			o.state.MarkFlushed(b)
			o.settle()
			go o.giveUp(ctx)
		})
	}()
}

// giveUp writes that the domain has no owner, and ends this one.
func (o *Owner) giveUp(ctx context.Context) {
	if err := o.committer.Resign(ctx); err != nil {
		event.ResignFailed.Log(o.opts.Log, slog.Any("err", err))
	}
	o.quit(errResigned)
}
