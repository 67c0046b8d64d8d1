package ownership

import "time"

// aliveInterest is for how many sessions the session of a host is read after
// somebody asked after one of its processes.
const aliveInterest = 8

// inquiry is an interest in a process of another host.
type inquiry struct {
	// asked is when somebody first asked, and until how long it lasts.
	asked, until time.Time
}

// Alive reports whether a process may still run. It says no only of a process
// that a later one of its host has replaced, or whose session has lapsed, as
// found by a read sent after the question was first put; yes if nothing is
// known.
func (m *Machine) Alive(now time.Time, host, incarnation string) (bool, []Action) {
	if host == m.cfg.Host {
		replacedIt := incarnation != m.cfg.Incarnation && m.session.written && !m.session.replaced
		return !replacedIt, nil
	}
	of := Holder{Host: host, Incarnation: incarnation}
	q, ok := m.inquiries[of]
	if !ok {
		q.asked = now
		m.read.wanted = true
	}
	q.until = now.Add(aliveInterest * m.cfg.Lease.Session.D())
	m.inquiries[of] = q
	actions := m.step(now)
	o := m.sessions[host]
	if o == nil || o.readSent.Before(q.asked) {
		return true, actions
	}
	if o.version == 0 {
		// Its row was deleted long after it had lapsed.
		return false, actions
	}
	if o.incarnation != incarnation {
		return o.incarnation == "", actions
	}
	return o.readSent.Before(o.since.Add(m.cfg.lapse(o.bounds))), actions
}

// inquired lists the hosts whose sessions are read because somebody asks.
func (m *Machine) inquired(now time.Time) []string {
	var hosts []string
	for of, q := range m.inquiries {
		if now.Before(q.until) {
			hosts = append(hosts, of.Host)
		} else {
			delete(m.inquiries, of)
		}
	}
	return hosts
}
