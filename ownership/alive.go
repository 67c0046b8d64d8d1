package ownership

import "time"

// inquirySessions is how long the session row of a host is read after a call of
// Alive for one of its processes, in multiples of the session's length.
const inquirySessions = 8

// inquiry is an open question about a process of another host.
type inquiry struct {
	// asked is when Alive was first called for the process; until is when the
	// inquiry ends.
	asked, until time.Time
}

// Alive reports whether a process may still run that wrote a row of the given
// version. It returns false only if a later process of its host has replaced it, or
// if its session has lapsed according to a read sent after the first call for this
// process; true if nothing is known. For a process of another host it opens or
// extends an inquiry, so that the host's session row is read.
func (m *Machine) Alive(now time.Time, host, incarnation string, version uint64) (bool, []Action) {
	if host == m.cfg.Host {
		isReplaced := incarnation != m.cfg.Incarnation && m.session.written && !m.session.replaced
		return !isReplaced, nil
	}
	process := Holder{Host: host, Incarnation: incarnation}
	q, ok := m.inquiries[process]
	if !ok {
		q.asked = now
		m.read.immediate = true
	}
	q.until = now.Add(inquirySessions * m.cfg.Lease.Session.D())
	m.inquiries[process] = q
	actions := m.step(now)
	o := m.sessions[host]
	if o == nil || o.readSentAt.Before(q.asked) {
		return true, actions
	}
	lapse := m.cfg.lapseTime(o.bounds)
	switch {
	case o.version != 0 && o.incarnation == "":
		return true, actions // the row can't be decoded
	case o.version != 0 && o.incarnation == incarnation:
		return o.readSentAt.Before(o.versionSince.Add(lapse)), actions
	case o.version != 0 && o.incarnationVersion > version:
		return false, actions
	default:
		// The session is of an earlier process, or was deleted. The process asked about
		// has written its row before it opened its session, or it has ended.
		return o.readSentAt.Before(q.asked.Add(lapse)), actions
	}
}

// inquiredHosts returns the hosts with open inquiries, and deletes expired
// inquiries.
func (m *Machine) inquiredHosts(now time.Time) []string {
	var hosts []string
	for process, q := range m.inquiries {
		if now.Before(q.until) {
			hosts = append(hosts, process.Host)
		} else {
			delete(m.inquiries, process)
		}
	}
	return hosts
}
