package ownership

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
)

// shardState is the machine's state of one shard.
type shardState struct {
	name     string
	endpoint bool

	// row and version are the newest known row; version 0 means that there is
	// no row.
	row     ShardRow
	version uint64
	// readSentAt is when the newest request that confirmed this row was sent.
	readSentAt time.Time

	// minReadID requests a read of the row with this ID or a later one; 0 for
	// none.
	minReadID uint64
	// hint is the newest owner update from a peer.
	hint OwnerUpdate
	// noClaimUntil is the time until which this host promised not to claim the
	// shard.
	noClaimUntil time.Time

	// vacantSince is when the shard was first seen without an owner.
	vacantSince time.Time
	// usableFrom is the earliest time of use under the owned epoch.
	usableFrom time.Time
	// inUse is set once the shard is used under the owned epoch.
	inUse bool
	// minUsableEpoch is the lowest epoch that may be used; a newer owner exists
	// for lower ones.
	minUsableEpoch uint64
	// usedEpoch is the newest epoch under which requests may be in flight; 0
	// for none.
	usedEpoch uint64
	// drainRequested is the epoch for which a drain was last requested.
	drainRequested uint64
	// previousStopped is the epoch whose unconfirmed previous owner has
	// confirmed that it stopped.
	previousStopped uint64
	// stoppedAskedAt is when the previous owner was last asked whether it has
	// stopped.
	stoppedAskedAt time.Time

	// commit is the ID of the transaction in flight on the row; 0 for none.
	commit uint64
	// lastWriteAt is when the newest write of the row was sent.
	lastWriteAt time.Time
	// claim is a claim that may still take effect; nil for none.
	claim *claim
	// pendingSuccessors are successors in a write of the row without a known
	// result.
	pendingSuccessors []string
	// successorsUncertain is set if such a write may still take effect.
	successorsUncertain bool

	// move is the move in progress; nil for none.
	move *move
	// promised holds the time until which each successor has promised not to
	// claim the shard.
	promised map[string]time.Time
}

// claim is an attempt to become a shard's owner that was sent and may still take
// effect.
type claim struct {
	sentAt time.Time
	// uncertain is set once the result of an attempt was lost.
	uncertain bool
	// condition is the condition on the lapsed session in the newest attempt;
	// nil for none.
	condition *infra.Condition
	// voidSince is when the claim was first known to be void, that is, unable to
	// take effect any more; zero if it isn't.
	voidSince time.Time
}

// move is a planned release of a shard.
type move struct {
	// to is the host that gets the shard; empty for none.
	to string
	// drained is set once nothing is in flight.
	drained bool
	// maybeReleased is set once a release may have taken effect.
	maybeReleased bool
}

func newShardState(name string) *shardState {
	return &shardState{
		name:     name,
		endpoint: roster.IsEndpointShard(name),
		promised: map[string]time.Time{},
	}
}

// inFlightBound is the maximum time that requests of all owners so far may run.
func (s *shardState) inFlightBound() time.Duration {
	bound := s.row.Owner.MaxRun
	if s.row.Seized {
		bound = max(bound, s.row.MaxRun)
	}
	return bound
}

// exists reports whether a row of the shard is known.
func (s *shardState) exists() bool { return s.version != 0 }
