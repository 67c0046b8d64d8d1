package ownership

// Share is the share of a shard's capacity that an entry host may use.
type Share uint8

// The shares in increasing order.
const (
	None Share = iota
	Half
	Full
)

// String returns the form used in logs and JSON.
func (s Share) String() string {
	switch s {
	case Half:
		return "half"
	case Full:
		return "full"
	default:
		return "none"
	}
}

// Of returns how many of n slots the share allows. Half is rounded down.
func (s Share) Of(n int) int {
	switch s {
	case Half:
		return n / 2
	case Full:
		return n
	default:
		return 0
	}
}
