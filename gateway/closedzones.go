package gateway

import "github.com/fireflygate/fireflygate/outcome"

// SetClosedZones sets the availability zones whose endpoints get no new requests. Waiting
// requests of services that have no other endpoints are refused.
func (g *Gateway) SetClosedZones(zones []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetClosedZones(zones)
	for service := range g.services {
		if g.pool.AllClosed(service) {
			g.refuseWaitingRequests(service)
		}
	}
	g.serveQueues()
}

// closedRefusal refuses a request of a service whose endpoints are all in closed
// availability zones.
func closedRefusal() outcome.Refusal { return notRun(ReasonZonesClosed, unservedRetryAfter) }
