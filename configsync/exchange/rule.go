package exchange

// Rule decides when a host puts a version that it has into force.
type Rule uint8

const (
	// AtOnce puts a version into force as soon as the host has it. A process that
	// replaces another can only learn from the store which version that one had.
	AtOnce Rule = iota
	// HeldByMost puts a version into force once most hosts have it. A process that
	// replaces another can learn from its peers which version that one had.
	HeldByMost
)
