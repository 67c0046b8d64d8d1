package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
)

// refreshTick is how often an owner looks whether its row needs a refresh: a
// fraction of what is left between that and election.StaleAfter.
const refreshTick = 100 * time.Millisecond

// keepRow refreshes the owner's row while the loop is at work for long: the
// state is read, or some thousand tasks are planned after an outage. Without
// it, the others replaced an owner in the midst of its first planning cycle,
// the next one had more to plan, and so on: twelve owners in 18 s.
func (o *Owner) keepRow() {
	t := time.NewTicker(refreshTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if !election.RefreshDue(o.commitAge(), boottime()-time.Duration(o.turnedAt.Load())) {
				continue
			}
			if err := o.refresh(); err != nil {
				o.quit(errors.Wrap(err, "refresh"))
				return
			}
		case <-o.ctx.Done():
			return
		}
	}
}

// refresh commits the owner's row alone, unless another commit is under way.
func (o *Owner) refresh() error {
	begun := boottime()
	done, err := o.committer.Refresh(o.ctx)
	if done {
		o.opts.Metrics.commit(err, boottime()-begun)
	}
	if done && err == nil {
		o.prove(begun)
	}
	return err
}
