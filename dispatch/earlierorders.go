package dispatch

import (
	"cmp"
	"time"
)

// EarlierOrders says until when the owner of an earlier epoch may give orders. Leases
// that it gave are over LongestLease later, and at LeasesEnd unless that is zero.
type EarlierOrders struct {
	Epoch          uint64
	End, LeasesEnd time.Time
	// Lease is the longest lease that it gave, Config.Lease if it is zero.
	Lease time.Duration
}

// leasesEnd returns when the leases are over that the owner may have given, each for lease at
// most unless Lease says otherwise.
func (o *EarlierOrders) leasesEnd(lease time.Duration) time.Time {
	end := o.End.Add(LongestLease(cmp.Or(o.Lease, lease)))
	if o.LeasesEnd.IsZero() || end.Before(o.LeasesEnd) {
		return end
	}
	return o.LeasesEnd
}

// SetEarlierOrders replaces what is known of earlier owners' orders. An owner that
// isn't among them gave no lease that may last. It returns the number of inherited
// workers that haven't reported.
func (s *State) SetEarlierOrders(all []EarlierOrders) int {
	s.earlierOrders = all
	for _, w := range s.awaitingReport {
		w.inheritedUntil = s.inheritedEnd(w)
	}
	return len(s.awaitingReport)
}

// longestLease returns the longest lease that this owner or an earlier one gave.
func (s *State) longestLease() time.Duration {
	longest := s.cfg.Lease
	for _, o := range s.earlierOrders {
		longest = max(longest, o.Lease)
	}
	return longest
}

// inheritedUntil returns when the leases are over that owners up to an epoch may have
// given; epoch 0 stands for all owners.
func (s *State) inheritedUntil(epoch uint64) time.Time {
	var end time.Time
	for _, o := range s.earlierOrders {
		if over := o.leasesEnd(s.cfg.Lease); (epoch == 0 || o.Epoch <= epoch) && over.After(end) {
			end = over
		}
	}
	return end
}
