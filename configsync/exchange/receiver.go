package exchange

import "github.com/fireflygate/fireflygate/configstore"

// Accepted implements configstore.Receiver. A host that starts takes nothing older from
// its peers.
func (e *Exchange) Accepted(version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startup.Accept(version)
}

// Confirmed implements configstore.Receiver.
func (e *Exchange) Confirmed(version uint64) {
	e.mu.Lock()
	e.confirmation.Record(version)
	e.mu.Unlock()
	e.applyConfirmed()
}

// ToRecord implements configstore.Receiver.
func (e *Exchange) ToRecord(recorded uint64) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.confirmation.ToRecord(recorded, e.versions.Hosts(), e.random)
}

// Held implements configstore.Receiver.
func (e *Exchange) Held() (uint64, bool) {
	// The pending version is read first: it stays until it is in force.
	pending, waits := e.pendingVersion()
	inForce, known := e.holder.Version()
	return max(pending, inForce), known || waits
}

// Hold implements configstore.Receiver. The store must have accepted the version.
func (e *Exchange) Hold(o configstore.Offer) { e.hold(o) }
