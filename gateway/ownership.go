package gateway

import "github.com/fireflygate/fireflygate/ownership"

// OwnershipSource provides the shares that this host owns.
type OwnershipSource interface {
	// Snapshot returns the latest snapshot, which is never nil.
	Snapshot() *ownership.Snapshot
}
