package dispatch

// RefusedToken is the refusal of the newest fencing token that this owner has given a
// worker. The worker has seen a higher one, which only a later owner can have given it.
type RefusedToken struct {
	Worker string
	Token  uint64
}

// RefusedToken returns the first refusal that shows that this owner has been replaced,
// false if there was none.
func (s *State) RefusedToken() (RefusedToken, bool) {
	return s.refusedToken, s.refusedToken.Worker != ""
}

// recordFenced records that a worker refused the token of an order, and reports whether
// that shows that this owner has been replaced. It doesn't if the token was raised since
// the order was given, as the worker may have seen the raised one.
func (s *State) recordFenced(w *worker, token uint64) bool {
	if token < w.token {
		return false
	}
	if s.refusedToken.Worker == "" {
		s.refusedToken = RefusedToken{Worker: w.info.ID, Token: token}
	}
	return true
}
