package configstore

// Change is an operator's request for a new configuration.
type Change struct {
	// Base is the version that the change is based on.
	Base uint64
	// Author is the operator's name.
	Author string
	// Content is the whole policy as TOML.
	Content string
}
