package configstore

// Change is what an operator asks for.
type Change struct {
	// Base is the version that the change was made from.
	Base uint64
	// Author is who asks.
	Author string
	// Content is the whole policy as TOML.
	Content string
}
