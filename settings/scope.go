package settings

// Scope says which part of the settings must be complete.
type Scope uint8

// The scopes.
const (
	// Process: a folder that starts an entry host; host and platform are
	// required.
	Process Scope = iota
	// Policy: what operators apply to all entry hosts; host, platform and
	// lease are left alone.
	Policy
)
