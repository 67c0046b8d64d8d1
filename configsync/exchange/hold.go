package exchange

import (
	"time"

	"github.com/fireflygate/fireflygate/configstore"
	"github.com/fireflygate/fireflygate/configsync"
)

// hold keeps a configuration if it is valid and newer than the newest that this host
// has, and reports whether it did. It puts it into force when the rule allows.
func (e *Exchange) hold(o configstore.Offer) bool {
	if e.rule == AtOnce {
		return e.holder.ApplyIfNewer(o)
	}
	if !e.isNewer(o) || !e.holder.Valid(o) || !e.setPending(o) {
		return false
	}
	e.applyConfirmed()
	return true
}

// isNewer reports whether a configuration is newer than the newest that this host has.
func (e *Exchange) isNewer(o configstore.Offer) bool {
	held, known := e.Held()
	return configsync.Newer(o.Head.Version, held, known)
}

// setPending makes a configuration the pending one, unless that is newer.
func (e *Exchange) setPending(o configstore.Offer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending != nil && e.pending.Head.Version >= o.Head.Version {
		return false
	}
	e.pending = &o
	return true
}

// pendingVersion returns the version that isn't in force yet, false if there is none.
func (e *Exchange) pendingVersion() (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending == nil {
		return 0, false
	}
	return e.pending.Head.Version, true
}

// offer returns the configuration in force, or if pending is set a newer one that isn't
// in force yet, false if there is none.
func (e *Exchange) offer(pending bool) (configstore.Offer, bool) {
	e.mu.Lock()
	newest := e.pending
	e.mu.Unlock()
	inForce, known := e.holder.Offer()
	if pending && newest != nil && (!known || newest.Head.Version > inForce.Head.Version) {
		return *newest, true
	}
	return inForce, known
}

// message returns the versions of this host.
func (e *Exchange) message() versionMessage {
	held, _ := e.Held()
	inForce, known := e.holder.Version()
	m := versionMessage{Version: inForce, Known: known, Waits: e.rule == HeldByMost}
	if held > inForce {
		m.Held = held
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m.Confirmed = known && m.Waits && e.confirmation.Includes(inForce)
	m.Hosts = e.versions.Hosts()
	return m
}

// applyConfirmed puts the pending version into force if most hosts hold it, and reports
// whether it did.
func (e *Exchange) applyConfirmed() bool {
	o, ok := e.confirmedPending()
	if !ok {
		return false
	}
	applied := e.holder.ApplyIfNewer(o)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending != nil && e.pending.Head.Version == o.Head.Version {
		e.pending = nil
	}
	close(e.applied)
	e.applied = make(chan struct{})
	return applied
}

// confirmedPending returns the pending version if most hosts hold it.
func (e *Exchange) confirmedPending() (configstore.Offer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending == nil || !e.confirmation.Check(e.pending.Head.Version, &e.versions, time.Now()) {
		return configstore.Offer{}, false
	}
	return *e.pending, true
}
