package configstore

// Status says what became of a change.
type Status uint8

// The results of a change. The zero value is Unknown.
const (
	// Unknown: the answer was lost and could not be settled; the change may
	// be in force.
	Unknown Status = iota
	// Accepted: it is the newest version and will be in force everywhere
	// within seconds.
	Accepted
	// Lost: another change was accepted first; nothing was written.
	Conflict
	// NotApplied: the platform refused; nothing was written.
	NotApplied
)

// Result is the answer to a change.
type Result struct {
	Status Status
	// Head is the accepted version, or with Lost the version that won.
	Head Head
	// Differs lists the keys in which the change differs from its base, or
	// with Lost from the version that won.
	ChangedKeys []string
	// Err says why for NotApplied and Unknown.
	Err error
}
