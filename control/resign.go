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
// up, so that another host takes over at once.
func (o *Owner) resign(ctx context.Context) {
	done := make(chan struct{})
	o.post(func() {
		event.ResignBegun.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Bool("commit_under_way", o.committing))
		o.finishUp(ctx, 1, done)
	})
	select {
	case <-done:
	case <-o.ctx.Done():
	case <-ctx.Done():
		o.quit(errResigned)
	}
	<-o.stopped
}

// finishUp waits for a commit that is under way and then commits the rest.
func (o *Owner) finishUp(ctx context.Context, turns int, done chan struct{}) {
	if o.committing {
		// The loop must go on to take the commit's outcome in.
		go o.post(func() { o.finishUp(ctx, turns+1, done) })
		return
	}
	event.ResignCommits.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.Int("turns", turns))
	o.resigning = true
	b, err := o.state.Flush(time.Now(), batchWrites)
	if err != nil {
		panic("control: state can't be encoded: " + err.Error())
	}
	o.committing = true
	go func() {
		defer close(done)
		if err := o.committer.Commit(ctx, b.Writes); err != nil {
			event.ResignFailed.Log(o.opts.Log, slog.Any("err", err))
			o.quit(errors.Wrap(err, "last commit"))
			return
		}
		settled := make(chan struct{})
		o.post(func() {
			o.state.Flushed(b)
			o.settle()
			close(settled)
		})
		<-settled
		if err := o.committer.Resign(ctx); err != nil {
			event.ResignFailed.Log(o.opts.Log, slog.Any("err", err))
		}
		o.quit(errResigned)
	}()
}
