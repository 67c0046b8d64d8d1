package placement

// spreadKey identifies a rack; without rack a zone; without zone all hosts.
type spreadKey struct {
	class string
	zone  string
	rack  string
}

// spread counts latency-critical runs by failure domain.
type spread struct {
	runs map[spreadKey]int
}

func newSpread() spread { return spread{runs: map[spreadKey]int{}} }

// score prefers zones, racks and hosts with fewer runs of the same class.
func (d *spread) score(q *request, n *node) float64 {
	class := q.spec.Class
	zone := d.runs[spreadKey{class: class, zone: n.host.Zone}]
	rack := d.runs[spreadKey{class: class, zone: n.host.Zone, rack: n.host.Rack}]
	total := d.runs[spreadKey{class: class}]
	same := 0
	for _, r := range n.runs {
		if r.spec.Class == class {
			same++
		}
	}
	crowding := 0.5*saturate(same, 1) + 0.3*saturate(rack, rackHalf) + 0.2*ratio(int64(zone), int64(total))
	empty := ratio(n.free().MilliCPU, n.host.Capacity.MilliCPU)
	return 1 - crowding + 0.1*empty
}

// rackHalf is the number of runs in a rack at which the rack's term is one
// half.
const rackHalf = 8

// saturate rises from 0 to 1 with count; it is one half at half.
func saturate(count, half int) float64 {
	return float64(count) / float64(count+half)
}

// count adds delta to the number of runs of the class in total, in the host's
// zone and, if the host has one, in its rack.
func (d *spread) count(class string, h Host, delta int) {
	d.add(spreadKey{class: class}, delta)
	d.add(spreadKey{class: class, zone: h.Zone}, delta)
	if h.Rack != "" {
		d.add(spreadKey{class: class, zone: h.Zone, rack: h.Rack}, delta)
	}
}

func (d *spread) add(key spreadKey, delta int) {
	d.runs[key] += delta
	if d.runs[key] == 0 {
		delete(d.runs, key)
	}
}
