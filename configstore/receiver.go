package configstore

// Receiver decides when a version that a Watcher reads from the store is put into force.
// It is safe for concurrent use.
type Receiver interface {
	// Accepted tells that the store has accepted a version, whose content may be
	// unreadable.
	Accepted(version uint64)
	// Confirmed tells that most hosts have held a version at once.
	Confirmed(version uint64)
	// ToRecord returns the version of which the store is to be told that most hosts
	// have held it, where recorded is the one that it was told of, and false if there
	// is none.
	ToRecord(recorded uint64) (uint64, bool)
	// Held returns the newest version that was taken, false before the first.
	Held() (uint64, bool)
	// Hold takes a version with its content, and puts it into force at once or later.
	Hold(o Offer)
}
