package logsink

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultLinesPerSecond is the budget of lines a second. An owner of 66 workers on
	// a quiet day writes some 350 a second; a line costs 4 to 8 µs.
	DefaultLinesPerSecond = 800
	// burstSeconds is how many seconds' worth of the budget may come at once,
	// as after a pause or a take-over.
	burstSeconds = 2
	// reserveShare is what lines that aren't routine have besides, as a share
	// of the budget.
	reserveShare = 0.25
)

// budget admits lines at a bounded rate.
type budget struct {
	common, reserve *rate.Limiter
}

// newBudget returns a budget of so many lines a second.
func newBudget(lines int) *budget {
	reserve := max(int(reserveShare*float64(lines)), 1)
	return &budget{
		common:  rate.NewLimiter(rate.Limit(lines), burstSeconds*lines),
		reserve: rate.NewLimiter(rate.Limit(reserve), burstSeconds*reserve),
	}
}

// spent reports whether a line would be refused now; it takes nothing.
func (b *budget) spent(now time.Time, routine bool) bool {
	return b.common.TokensAt(now) < 1 && (routine || b.reserve.TokensAt(now) < 1)
}

// take admits a line. What isn't routine uses the reserve only once the
// common budget is spent.
func (b *budget) take(now time.Time, routine bool) bool {
	if b.common.AllowN(now, 1) {
		return true
	}
	return !routine && b.reserve.AllowN(now, 1)
}
