package dispatch

import (
	"slices"
	"time"

	"github.com/fireflygate/fireflygate/runner"
)

// NewLife says that a worker has started again under its ID.
type NewLife struct {
	Worker        string
	Before, Since runner.Incarnation
	// Runs counts the runs that may have been alive in the life before.
	Runs int
}

// TakeNewLives returns and clears the new lives found since the last call.
func (s *State) TakeNewLives() []NewLife {
	lives := s.newLives
	s.newLives = nil
	return lives
}

// origin tells which life of a worker gave an answer.
type origin uint8

const (
	// unknownLife: the order was made for an earlier life; any life since may have
	// answered.
	unknownLife origin = iota
	// currentLife: the life that was known already.
	currentLife
	// begunLife: a life that this answer has shown and that is the current one now.
	begunLife
)

// originOf returns which life gave an answer to an order, and begins a new life if the answer
// shows one. A worker executes an order after it was made. If that was made for the current
// life and another one has answered, the other is the later one. Of an order for an earlier
// life that can't be said, as answers overtake each other.
func (s *State) originOf(now time.Time, w *worker, to runner.Addressee, a runner.Answer) origin {
	switch {
	case to.Life != w.number && a.Incarnation != 0 && a.Incarnation == w.incarnation:
		return currentLife
	case to.Life != w.number:
		return unknownLife
	case a.Incarnation.Differs(w.incarnation), a.ClockMS > 0 && a.ClockMS < to.Clock:
		s.beginLife(now, w, a)
		return begunLife
	}
	if w.incarnation == 0 {
		w.incarnation = a.Incarnation
	}
	return currentLife
}

// beginLife records that an answer is of a new life of the worker. Its runs stay until the
// new life has reported: of those whose starts weren't answered by a report, it isn't known
// which life carried them out. The worker has seen no token. It may still get orders that were
// made for the life before, which give leases by a clock that it doesn't have; it cuts them to
// MaxLease. A report under a raised token ends both.
func (s *State) beginLife(now time.Time, w *worker, a runner.Answer) {
	before := w.life
	w.life = s.newLife(a.Incarnation)
	w.restarted, w.since, w.before, w.silentBefore = true, now, before.incarnation, before.unresponsiveSince
	if w.silentBefore.IsZero() {
		w.silentBefore = now
		s.recordOutage(w, now)
	}
	w.token++
	s.topToken = max(s.topToken, w.token)
	w.setClock(now, a.ClockMS)
	w.extendLease(a.ClockMS + max(s.cfg.Lease, s.cfg.MaxLease).Milliseconds())
	w.load = nil
	s.markChanged(w)
	s.withdrawStarts(now, w)
	s.dirtyRosterParts[w.rosterPart()] = true
	if len(s.newLives) < maxLosses {
		s.newLives = append(s.newLives, NewLife{Worker: w.info.ID, Before: before.incarnation, Since: w.incarnation, Runs: len(w.runs)})
	}
}

// endEarlierLives ends the runs of earlier lives that a complete report of this one doesn't
// list. The report is under a token that is higher than those of all orders for earlier lives,
// so that none of their starts can be carried out any more. Those that got no answer before
// the life before fell silent count as lost like the others, as they may have crashed it.
func (s *State) endEarlierLives(now time.Time, w *worker) {
	var lost []*run
	for _, r := range slices.Clone(w.runsByNumber) {
		switch {
		case r.life == w.number:
		case r.confirmed, r.phase == uncertain && !r.startedAt.After(w.silentBefore):
			lost = append(lost, r)
		default:
			s.releaseRun(now, r, StartFenced)
		}
	}
	if len(lost) > 0 || (w.restarted && !w.reported) {
		s.dropRuns(now, w, lost, Restarted)
	}
}
