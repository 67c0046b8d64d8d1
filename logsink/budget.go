package logsink

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultLinesPerSecond is the default logging rate limit.
	DefaultLinesPerSecond = 800
	// burstSeconds is the burst size in seconds of the rate limit. It covers the
	// bursts after a process pause or a takeover.
	burstSeconds = 2
	// reserveShare is the additional rate for lines that aren't routine, as a
	// fraction of the rate limit.
	reserveShare = 0.25
)

// budget limits the logging rate. Only lines that aren't routine may use reserve.
type budget struct {
	shared, reserve *rate.Limiter
}

// newBudget returns a budget of lines per second.
func newBudget(lines int) *budget {
	reserve := max(int(reserveShare*float64(lines)), 1)
	return &budget{
		shared:  rate.NewLimiter(rate.Limit(lines), burstSeconds*lines),
		reserve: rate.NewLimiter(rate.Limit(reserve), burstSeconds*reserve),
	}
}

// exhausted reports whether allow would reject a line, without consuming a token.
func (b *budget) exhausted(now time.Time, routine bool) bool {
	return b.shared.TokensAt(now) < 1 && (routine || b.reserve.TokensAt(now) < 1)
}

// allow consumes a token for a line and reports whether there was one. Lines that
// aren't routine use the reserve once the shared budget is exhausted.
func (b *budget) allow(now time.Time, routine bool) bool {
	if b.shared.AllowN(now, 1) {
		return true
	}
	return !routine && b.reserve.AllowN(now, 1)
}
