package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
)

// refreshCheckInterval is the interval of checks whether the owner's row needs
// a refresh. It is short compared with the time left until election.StaleAfter.
const refreshCheckInterval = 100 * time.Millisecond

// keepRowFresh refreshes the owner's row during long loop cycles, such as
// loading the state or planning many tasks, so that other hosts don't replace a
// working owner. Otherwise each owner would be replaced in its first cycle, and the
// next one would have more to plan.
func (o *Owner) keepRowFresh() {
	t := time.NewTicker(refreshCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			now, cycleAt := boottime(), time.Duration(o.cycleAt.Load())
			progressAt := max(cycleAt, time.Duration(o.loadedAt.Load()))
			if !election.RefreshDue(o.commitAge(), now-cycleAt, now-progressAt) {
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

// refresh commits the owner's row alone, unless another commit is in flight.
func (o *Owner) refresh() error {
	start, began := boottime(), time.Now()
	tried, err := o.committer.Refresh(o.ctx)
	if tried {
		o.opts.Metrics.commit(err, boottime()-start)
	}
	if tried && err == nil {
		o.recordCommit(start)
		o.post(func() { o.state.ConfirmOwnership(began) })
	}
	return err
}
