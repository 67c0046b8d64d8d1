package dispatch

import "time"

// RefusedToken is the refusal of the newest fencing token that this owner has given a
// worker. The worker has seen a higher one, which only a later owner can have given it,
// unless it is faulty.
type RefusedToken struct {
	Worker string
	Token  uint64
	// Workers counts the workers that have refused theirs.
	Workers int
}

// RefusedToken returns a refusal after which no commit has confirmed the ownership,
// false if there is none.
func (s *State) RefusedToken() (RefusedToken, bool) {
	return s.refusedToken, s.refusedToken.Workers > 0
}

// recordFenced records that a worker refused the token of an order, and reports whether
// that puts the ownership in doubt, now or before. It doesn't if the token was raised
// since the order was given, as the worker may have seen the raised one.
func (s *State) recordFenced(now time.Time, w *worker, token uint64) bool {
	if token < w.token {
		return false
	}
	if !w.refusesWrongly && w.refusedAt.IsZero() {
		w.refusedAt = now
		s.addRefusal(w)
	}
	return true
}

// addRefusal adds a worker to those that have refused their newest token. The ownership is
// confirmed by a commit that begins after that.
func (s *State) addRefusal(w *worker) {
	if s.refusedToken.Workers == 0 {
		s.refusedToken.Worker, s.refusedToken.Token = w.info.ID, w.token
	}
	s.refusedToken.Workers++
	s.confirmation.await(w.refusedAt)
}

// resolveRefusals handles an applied commit that began at the given time: workers that had
// refused the newest token by then did so wrongly.
func (s *State) resolveRefusals(began time.Time) {
	if s.refusedToken.Workers == 0 {
		return
	}
	s.refusedToken = RefusedToken{}
	for _, w := range s.byID() {
		switch {
		case w.refusedAt.IsZero():
		case began.Before(w.refusedAt):
			s.addRefusal(w)
		default:
			w.refusesWrongly, w.refusedAt = true, time.Time{}
		}
	}
}
