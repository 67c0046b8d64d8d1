package exchange

import "github.com/fireflygate/fireflygate/configstore"

// Holder holds the configuration in force on this host. It is safe for concurrent use.
type Holder interface {
	// Version returns the version in force, false before the first.
	Version() (uint64, bool)
	// Offer returns the configuration in force, false before the first.
	Offer() (configstore.Offer, bool)
	// Valid reports whether a configuration can be put into force.
	Valid(o configstore.Offer) bool
	// ApplyIfNewer puts a configuration into force if it is valid and newer, and
	// reports whether it did.
	ApplyIfNewer(o configstore.Offer) bool
	// NeedsPeers reports whether this host should look for a newer version at its
	// peers, or for a first one.
	NeedsPeers() bool
}
