package settings

import "slices"

// Zones configures availability zones.
type Zones struct {
	// Closed are the availability zones that get no new work: workers there start no
	// tasks, endpoints get no requests. What runs there goes on. If it isn't set, a
	// configuration that is applied keeps those of the one before.
	Closed []string `toml:"closed"`
}

// Clone returns a deep copy.
func (z Zones) Clone() Zones {
	z.Closed = slices.Clone(z.Closed)
	return z
}

// With returns the zones after one was closed or opened.
func (z Zones) With(zone string, closed bool) Zones {
	rest := slices.DeleteFunc(slices.Clone(z.Closed), func(name string) bool { return name == zone })
	if closed {
		rest = append(rest, zone)
		slices.Sort(rest)
	}
	if rest == nil {
		rest = []string{}
	}
	return Zones{Closed: rest}
}

// validateZones reports zones without a name and zones named twice.
func validateZones(z Zones, report reporter) {
	for i, name := range z.Closed {
		if name == "" || slices.Contains(z.Closed[:i], name) {
			report("zones.closed", "expected the names of availability zones, each once")
		}
	}
}
