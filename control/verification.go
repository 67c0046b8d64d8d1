package control

import (
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/event"
)

const (
	// stalledAfter is the time between two cycles of the loop after which the owner may
	// have been replaced without learning it. Replacing a process that seems to have
	// terminated takes about as long.
	stalledAfter = election.StaleAfter
	// stallTimeout bounds the time for which an owner whose process stood still gives no
	// orders. Workers' leases outlast it, so that runs don't end where a pause meets an
	// outage of the table service.
	stallTimeout = time.Second
	// refusalTimeout is how long after the refusal of several workers the owner ends if it
	// can't verify its ownership. It exceeds a commit on a slow table service.
	refusalTimeout = 2500 * time.Millisecond
)

// unverified reports whether the owner's process stood still, and no commit has been
// applied since that began afterwards. It gives no orders then, for at most stallTimeout.
func (o *Owner) unverified() bool {
	stalledAt := time.Duration(o.stalledAt.Load())
	return time.Duration(o.committedAt.Load()) < stalledAt && boottime()-stalledAt < stallTimeout
}

// refused reports whether a worker has refused the owner's newest token, and no commit has
// been applied since that began afterwards. It starts nothing then, but renews leases: it
// may be the worker that is faulty, and a successor waits for the leases of this owner.
func (o *Owner) refused() bool { return o.committedAt.Load() < o.refusedAt.Load() }

// verifyAfterStall requires a verification if the loop stood still since its last cycle.
func (o *Owner) verifyAfterStall(now time.Duration) {
	stalled := now - time.Duration(o.cycleAt.Load())
	if stalled < stalledAfter {
		return
	}
	o.stalledAt.Store(int64(now))
	o.state.ForgetAcceptances()
	event.OwnershipInDoubt.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.String("why", "the process stood still"),
		slog.Int64("stalled_ms", stalled.Milliseconds()))
}

// verifyIfRefused requires a verification if a worker has refused its newest token:
// another host may own the domain, or the worker is faulty.
func (o *Owner) verifyIfRefused() {
	r, _ := o.state.RefusedToken()
	if r.Worker != "" && r.Worker != o.refusedToken.Worker {
		o.refusedAt.Store(int64(boottime()))
		event.OwnershipInDoubt.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.String("why", "a worker has seen a higher token"),
			slog.String("worker", r.Worker), slog.Uint64("token", r.Token))
	}
	o.refusedToken = r
}

// endIfRefused ends the owner if several workers have refused its newest tokens and no
// commit has shown within refusalTimeout that nobody has replaced the owner.
func (o *Owner) endIfRefused(now time.Duration) {
	r := o.refusedToken
	if r.Workers > 1 && o.refused() && now-time.Duration(o.refusedAt.Load()) >= refusalTimeout {
		o.quit(errors.Wrapf(election.ErrDeposed, "worker %s has seen a higher token than %d, as have others", r.Worker, r.Token))
	}
}
