package configstore

// Status is the result of a change.
type Status uint8

// The zero value is Unknown.
const (
	// Unknown: the reply was lost and the result could not be determined; the
	// change may be in force.
	Unknown Status = iota
	// Accepted: the change is the newest version; every host applies it within
	// seconds, while most hosts reach each other.
	Accepted
	// Conflict: another change was accepted first; this one was not made.
	Conflict
	// NotApplied: the store was unavailable or the request invalid; the change
	// was not made.
	NotApplied
)

// Result is the result of a change with its details.
type Result struct {
	Status Status
	// Head is the accepted version; for Conflict the one accepted instead.
	Head Head
	// ChangedKeys lists the keys in which the change differs from its base; for
	// Conflict from the version accepted instead.
	ChangedKeys []string
	// Err is the reason for NotApplied and Unknown.
	Err error
}
