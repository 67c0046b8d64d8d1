package dispatch

import "time"

// EarlierOrders says until when the owner of an earlier epoch may give orders. Leases
// that it gave are over LongestLease later.
type EarlierOrders struct {
	Epoch uint64
	End   time.Time
}

// SetEarlierOrders replaces what is known of earlier owners' orders. An owner that
// isn't among them gave no lease that may last. It returns the number of inherited
// workers that haven't reported.
func (s *State) SetEarlierOrders(all []EarlierOrders) int {
	s.earlierOrders = all
	for _, w := range s.awaitingReport {
		w.inheritedUntil = s.inheritedUntil(w.leasedIn)
	}
	return len(s.awaitingReport)
}

// inheritedUntil returns when the leases are over that owners up to an epoch may have
// given; epoch 0 stands for all owners.
func (s *State) inheritedUntil(epoch uint64) time.Time {
	var end time.Time
	for _, o := range s.earlierOrders {
		if (epoch == 0 || o.Epoch <= epoch) && o.End.After(end) {
			end = o.End
		}
	}
	if end.IsZero() {
		return end
	}
	return end.Add(LongestLease(s.cfg.Lease))
}
