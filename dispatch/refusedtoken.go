package dispatch

import "time"

// RefusedToken is the refusal of the newest fencing token that this owner has given a
// worker. The worker has seen a higher one, which only a later owner can have given it,
// unless it is faulty.
type RefusedToken struct {
	Worker string
	Token  uint64
}

// RefusedToken returns a refusal after which no commit has confirmed the ownership,
// false if there is none.
func (s *State) RefusedToken() (RefusedToken, bool) {
	return s.refusedToken, s.refusedToken.Worker != ""
}

// recordFenced records that a worker refused the token of an order, and reports whether
// that puts the ownership in doubt, now or before. It doesn't if the token was raised
// since the order was given, as the worker may have seen the raised one.
func (s *State) recordFenced(now time.Time, w *worker, token uint64) bool {
	if token < w.token {
		return false
	}
	if s.refusedToken.Worker == "" && !w.refusesWrongly {
		s.refusedToken = RefusedToken{Worker: w.info.ID, Token: token}
		s.refusedAt = now
		s.confirmation.await(now)
	}
	return true
}

// resolveRefusal handles an applied commit that began at the given time: if that was
// after a worker refused the newest token, the worker did so wrongly.
func (s *State) resolveRefusal(began time.Time) {
	if s.refusedToken.Worker == "" || began.Before(s.refusedAt) {
		return
	}
	if w := s.workers[s.refusedToken.Worker]; w != nil {
		w.refusesWrongly = true
	}
	s.refusedToken = RefusedToken{}
}
