package placement

import "github.com/fireflygate/fireflygate/infra"

// shape is a kind of host: those of one shape hold the same when empty.
type shape struct {
	zone     string
	capacity infra.Resources
}

// shapes counts the known hosts by shape, so that a job that can never run is
// told so without a look at each host.
type shapes struct {
	hosts map[shape]int
}

func newShapes() shapes { return shapes{hosts: map[shape]int{}} }

// count adds by hosts like h. Of a host that was never set nothing is known.
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
