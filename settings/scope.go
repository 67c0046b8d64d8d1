package settings

// Scope determines which sections are validated.
type Scope uint8

const (
	// Process is the scope of a folder that starts an entry host; it requires
	// host and platform.
	Process Scope = iota
	// Policy is the scope of a folder that operators apply to all entry hosts;
	// it doesn't validate host and platform.
	Policy
)
