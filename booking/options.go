package booking

import (
	"context"
	"log/slog"
	"time"

	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/peer"
)

// Committer commits to the table and settles lost answers. It returns
// infra.CommitUnknown only when it could not settle within the context.
type Committer interface {
	Commit(ctx context.Context, conds []infra.Condition, writes []infra.Write) infra.CommitResult
}

// Reader reads the table.
type Reader interface {
	Get(ctx context.Context, keys ...string) ([]infra.Row, error)
	Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error)
}

// Options is what a Book works with.
type Options struct {
	// Host and Incarnation name this process.
	Host        string
	Incarnation string
	Committer   Committer
	Reader      Reader
	// Objects keeps large answers.
	Objects infra.Objects
	// Peers asks claimants on other entry hosts; nil when there are none.
	Peers peer.Transport
	// Alive reports whether a claimant's session may still be live. It may
	// say yes for a while after its end, never no before it.
	Alive func(host, incarnation string) bool
	// Window returns how long the outcome of a key is kept.
	Window func() time.Duration
	// InlineBody is the largest body kept in the row, in bytes; larger ones
	// become objects. 0 means 16 KiB.
	InlineBody int
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	Log *slog.Logger
}

const defaultInlineBody = 16 << 10
