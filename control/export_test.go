package control

import "time"

// HaveRelays has the owner use so many relays in each zone, whatever its load,
// once it owns the domain.
func (n *Node) HaveRelays(perZone int) {
	o, _, _ := n.current()
	done := make(chan struct{})
	o.post(func() {
		o.demand.Min = perZone
		o.adaptRelays(time.Now(), 0)
		close(done)
	})
	<-done
}

// ForgetPayloads has a host know no job's payload, as after it was replaced.
func (n *Node) ForgetPayloads() {
	n.payloads.mu.Lock()
	defer n.payloads.mu.Unlock()
	n.payloads.byJob, n.payloads.order = nil, nil
}
