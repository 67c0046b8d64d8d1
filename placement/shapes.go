package placement

import "github.com/fireflygate/fireflygate/infra"

// shape is the zone and capacity of a host.
type shape struct {
	zone     string
	capacity infra.Resources
}

// shapes counts the known hosts by shape, so that NeverFits doesn't examine
// each host.
type shapes struct {
	hosts map[shape]int
}

func newShapes() shapes { return shapes{hosts: map[shape]int{}} }

// count adds by to the number of hosts like h. Hosts that were never set are
// not counted.
func (k *shapes) count(h Host, by int) {
	if h.Unschedulable == unknownHost {
		return
	}
	s := shape{zone: h.Zone, capacity: h.Capacity}
	k.hosts[s] += by
	if k.hosts[s] == 0 {
		delete(k.hosts, s)
	}
}
