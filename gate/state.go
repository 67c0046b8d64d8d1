package gate

// State is the lifecycle state of an entry host.
type State int32

// The states in the order in which a host passes through them.
const (
	// Starting: the configuration or the membership list isn't known yet.
	Starting State = iota
	// Ready: accepts requests.
	Ready
	// Draining: hands over shards and finishes requests in flight.
	Draining
)

// String returns the state as shown to operators.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	default:
		return "starting"
	}
}
