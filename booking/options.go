package booking

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/peer"
)

// Committer commits transactions to the table and resolves lost answers. It
// returns infra.CommitUnknown only if it cannot determine the result within the
// context.
type Committer interface {
	Commit(ctx context.Context, conditions []infra.Condition, writes []infra.Write) infra.CommitResult
}

// Reader reads the table.
type Reader interface {
	Get(ctx context.Context, keys ...string) ([]infra.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error)
}

// Options configures a Registry.
type Options struct {
	// Host and Incarnation identify this process.
	Host        string
	Incarnation string
	Committer   Committer
	Reader      Reader
	// Objects stores large response bodies.
	Objects infra.Objects
	// Peers calls claimants on other entry hosts; nil if there are none.
	Peers peer.Transport
	// Alive reports whether the session of a claimant, whose claim has the given
	// version, may still be live or may not be open yet. It may
	// return true for a while after the session has ended, but never false
	// while the session is live.
	Alive func(host, incarnation string, version uint64) bool
	// Window returns how long outcomes are kept.
	Window func() time.Duration
	// InlineBody is the largest body stored in the row, in bytes. Larger bodies
	// are stored as objects. 0 means 16 KiB.
	InlineBody int
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	Log *slog.Logger
}

const defaultInlineBody = 16 << 10
