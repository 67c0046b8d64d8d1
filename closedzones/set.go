package closedzones

import "slices"

// Set is the set of closed availability zones as of a version of the store. The zero
// value is older than any other.
type Set struct {
	// Version is the version of the store up to which all changes are included.
	Version uint64 `msgpack:"v"`
	// Zones are the names of the closed zones, in order.
	Zones []string `msgpack:"z,omitempty"`
}

// Change is a change of one zone.
type Change struct {
	Zone string
	// Version is the version of the store at which the zone was closed or opened, 0 if
	// unknown.
	Version uint64
	Closed  bool
}

// Contains reports whether a zone is closed.
func (s Set) Contains(zone string) bool {
	_, found := slices.BinarySearch(s.Zones, zone)
	return found
}

// NewerThan reports whether s includes changes of the store that other may lack.
func (s Set) NewerThan(other Set) bool { return s.Version > other.Version }

// SameZones reports whether both sets have the same zones.
func (s Set) SameZones(other Set) bool { return slices.Equal(s.Zones, other.Zones) }

// Apply returns the set after changes that are complete up to a version, in the order
// in which they were made. Changes that s includes already are ignored: reads of the
// store may overlap.
func (s Set) Apply(changes []Change, through uint64) Set {
	zones := slices.Clone(s.Zones)
	for _, c := range changes {
		if c.Version != 0 && c.Version <= s.Version {
			continue
		}
		at, found := slices.BinarySearch(zones, c.Zone)
		switch {
		case c.Closed && !found:
			zones = slices.Insert(zones, at, c.Zone)
		case !c.Closed && found:
			zones = slices.Delete(zones, at, at+1)
		}
	}
	return Set{Version: max(s.Version, through), Zones: zones}
}
