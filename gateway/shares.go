package gateway

import "github.com/fireflygate/fireflygate/ownership"

// Shares gives what this host owns now.
type OwnershipSource interface {
	// View returns the newest snapshot, which is never nil.
	Snapshot() *ownership.Snapshot
}
