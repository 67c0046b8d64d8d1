package routing

// Endpoint is one endpoint of a service, according to the newest list.
type Endpoint struct {
	// Name is unique among all endpoints.
	Name string
	// Service is the service that the endpoint belongs to.
	Service string
	// Address is IP:port.
	Address string
	// Zone is its availability zone.
	Zone string
	// Shard is the shard that the endpoint belongs to.
	Shard string
	// Slots is the number of requests the endpoint serves concurrently.
	Slots int
	// Connections is the number of connections the endpoint accepts.
	Connections int
	// Leaving is set if the endpoint must get no new requests.
	Leaving bool
}

// UsableSlots returns how many requests all owners together may have in flight
// at the endpoint. Each needs a connection, and an owner opens at most half of
// the connections, so that two owners during a handover stay within the
// endpoint's limit.
func (e Endpoint) UsableSlots() int {
	return min(e.Slots, e.OwnerConnections())
}

// OwnerConnections returns the maximum number of connections of one owner.
func (e Endpoint) OwnerConnections() int {
	return e.Connections / 2
}

// WriteWindow returns how many requests to an endpoint with n slots may be
// between the check of the grant and the end of their write. A successor that
// cannot confirm that the previous owner has stopped uses n/2 slots, rounded
// down; a paused previous owner may write the remaining ones when it resumes.
// With one slot the window is one, and such a successor uses none.
func WriteWindow(n int) int {
	return n - n/2
}
