package routing

// Endpoint is one back end of a service, as last known.
type Endpoint struct {
	// Name is unique among all endpoints.
	Name string
	// Service is the service that it belongs to.
	Service string
	// Address is IP:port.
	Address string
	// Zone is its availability zone.
	Zone string
	// Shard is the shard that it belongs to.
	Shard string
	// Slots is how many requests it serves at once.
	Slots int
	// Connections is how many connections it accepts.
	Connections int
	// Leaving endpoints get nothing new.
	Leaving bool
}

// UsableSlots returns how many requests may be in flight at the endpoint over
// all its owners. Each needs a connection, and an owner opens no more than
// half of the connections, so that two owners that overlap stay within the
// endpoint's budget.
func (e Endpoint) UsableSlots() int {
	return min(e.Slots, e.OwnerConnections())
}

// OwnerConnections returns how many connections one owner may open.
func (e Endpoint) OwnerConnections() int {
	return e.Connections / 2
}

// WriteWindow returns how many requests to an endpoint with n slots may be
// between the check of the grant and the end of their write. A successor that
// does not know whether the old owner has stopped uses n/2 slots, rounded
// down, so the old owner may have the rest in this window when it is paused.
// With one slot the window is one: such a successor uses none.
func WriteWindow(n int) int {
	return n - n/2
}
