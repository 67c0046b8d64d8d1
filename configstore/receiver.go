package configstore

// Receiver is told of the versions that a Watcher reads from the store. It is safe for
// concurrent use.
type Receiver interface {
	// Accepted tells that the store has accepted a version, whose content may be
	// unreadable.
	Accepted(version uint64)
}
