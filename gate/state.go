package gate

// State is where an entry host is in its life.
type State int32

// The states, in order.
const (
	// Starting: not ready; the configuration or the members are not read yet.
	Starting State = iota
	// Ready: takes requests.
	Ready
	// Draining: takes no new work and hands over what it holds.
	Draining
)

// String returns the state as it is shown to operators.
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
