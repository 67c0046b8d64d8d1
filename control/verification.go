package control

import (
	"log/slog"
	"sync/atomic"
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
	// refusalTimeout is how long after a worker's refusal the owner ends if it can't
	// verify its ownership. It exceeds a commit on a slow table service.
	refusalTimeout = 2500 * time.Millisecond
)

// verification is required of an owner that may have been replaced without learning it.
// The owner gives no orders until a commit is applied that began afterwards.
type verification struct {
	// requiredAt is the boottime at which it was last required, deadline until when the
	// owner waits for it; 0 if it never was.
	requiredAt, deadline atomic.Int64
}

// require makes a commit necessary that begins after now, for the given time.
func (v *verification) require(now, timeout time.Duration) {
	v.deadline.Store(max(v.deadline.Load(), int64(now+timeout)))
	v.requiredAt.Store(int64(now))
}

// open reports whether no commit that began after the verification was required has
// been applied, given the time at which the last applied one began.
func (v *verification) open(committedAt time.Duration) bool {
	return committedAt < time.Duration(v.requiredAt.Load())
}

// expired reports whether the owner doesn't wait for the verification any more.
func (v *verification) expired(now time.Duration) bool {
	return now >= time.Duration(v.deadline.Load())
}

// unverified reports whether the owner waits for a verification.
func (o *Owner) unverified() bool {
	return o.verification.open(time.Duration(o.committedAt.Load())) && !o.verification.expired(boottime())
}

// verifyAfterStall requires a verification if the loop stood still since its last cycle.
func (o *Owner) verifyAfterStall(now time.Duration) {
	stalled := now - time.Duration(o.cycleAt.Load())
	if stalled < stalledAfter {
		return
	}
	o.verification.require(now, stallTimeout)
	event.OwnershipInDoubt.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.String("why", "the process stood still"),
		slog.Int64("stalled_ms", stalled.Milliseconds()))
}

// verifyIfRefused requires a verification if a worker has refused its newest token:
// another host may own the domain, or the worker is faulty.
func (o *Owner) verifyIfRefused() {
	r, ok := o.state.RefusedToken()
	if r == o.refusedToken {
		return
	}
	o.refusedToken = r
	if !ok {
		return
	}
	o.verification.require(boottime(), refusalTimeout)
	event.OwnershipInDoubt.Log(o.opts.Log, slog.Uint64("epoch", o.epoch), slog.String("why", "a worker has seen a higher token"),
		slog.String("worker", r.Worker), slog.Uint64("token", r.Token))
}

// endIfRefused ends the owner if a worker has refused its newest token and no commit has
// shown within refusalTimeout that nobody has replaced the owner.
func (o *Owner) endIfRefused(now time.Duration) {
	r := o.refusedToken
	if r.Worker != "" && o.verification.open(time.Duration(o.committedAt.Load())) && o.verification.expired(now) {
		o.quit(errors.Wrapf(election.ErrDeposed, "worker %s has seen a higher token than %d", r.Worker, r.Token))
	}
}
