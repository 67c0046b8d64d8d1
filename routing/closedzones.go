package routing

import "slices"

// SetClosedZones sets the availability zones whose endpoints get no new requests.
func (p *Pool) SetClosedZones(zones []string) { p.closedZones = zones }

// AllClosed reports whether the service has endpoints and all are in closed zones.
func (p *Pool) AllClosed(service string) bool {
	g := p.services[service]
	return g != nil && !slices.ContainsFunc(g.backends, func(b *backend) bool { return !p.inClosedZone(b) })
}

// getsNoRequests reports whether the endpoint must get no new requests.
func (p *Pool) getsNoRequests(b *backend) bool { return b.Leaving || p.inClosedZone(b) }

func (p *Pool) inClosedZone(b *backend) bool { return slices.Contains(p.closedZones, b.Zone) }
