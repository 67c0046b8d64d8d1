package ownership

import (
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
)

// shardState is what a Machine knows of one shard.
type shardState struct {
	name     string
	endpoint bool

	// row and version are the newest known; version 0 means no row.
	row     ShardRow
	version uint64
	// readAt is when the newest request was sent that showed the row as it
	// is known.
	readAt time.Time

	// lookFrom asks for a read of the row with this identifier or a later
	// one; 0 for none.
	lookFrom uint64
	// hint is what a peer told of the shard's owner.
	hint OwnerUpdate
	// givenUntil is until when this host promised not to claim the shard.
	givenUntil time.Time

	// wantedAt is when the shard was first seen without an owner.
	wantedAt time.Time
	// startAt is the earliest use under the epoch owned.
	startAt time.Time
	// begun is set once the shard was used under the epoch owned.
	begun bool
	// stoppedBelow is an epoch below which nothing may be used any more,
	// because a newer owner is known.
	stoppedBelow uint64
	// usedEpoch is the newest epoch under which requests may be in flight;
	// 0 once they are known to be over.
	usedEpoch uint64
	// drainAsked is the epoch whose end of use was last asked for.
	drainAsked uint64
	// previousStopped is the epoch whose unconfirmed previous owner has
	// confirmed that it stopped.
	previousStopped uint64
	// askedStopped is when the previous owner was last asked.
	askedStopped time.Time

	// commit is the transaction under way on the row, 0 for none.
	commit uint64
	// triedAt is when the newest write of the row was sent.
	triedAt time.Time
	// claim is a claim that may still take effect, nil if none.
	claim *claim
	// renamed are successors written to the row but not yet confirmed.
	renamed []string
	// renameDoubtful is set when such a write may still take effect.
	renameDoubtful bool

	// move is the release under way, nil if none.
	move *move
	// promised is until when each successor promised.
	promised map[string]time.Time
}

// claim is a claim of a shard that may take effect.
type claim struct {
	sentAt time.Time
	// doubtful is set once the result of an attempt was lost.
	doubtful bool
	// condition is the lapsed session that the newest attempt depends on,
	// nil if none.
	condition *infra.Condition
}

// move is a planned release of a shard.
type move struct {
	// to is the host that gets it; empty for nobody.
	to string
	// drained is set once nothing is in flight.
	drained bool
	// sent is set once a release may have taken effect.
	sent bool
}

// newShardState returns the state of a shard of which nothing is known.
func newShardState(name string) *shardState {
	return &shardState{
		name:     name,
		endpoint: roster.IsEndpointShard(name),
		promised: map[string]time.Time{},
	}
}

// inFlightBound is the longest that requests of owners so far may run.
func (s *shardState) inFlightBound() time.Duration {
	bound := s.row.Owner.MaxRun
	if s.row.Seized {
		bound = max(bound, s.row.MaxRun)
	}
	return bound
}

// exists reports whether the shard's row is known.
func (s *shardState) exists() bool { return s.version != 0 }
