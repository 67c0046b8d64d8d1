package integration

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/faultproxy"
	"github.com/fireflygate/fireflygate/infra"
	"github.com/fireflygate/fireflygate/roster"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// Link names of the platform's services.
const (
	Table   = "table"
	Objects = "objects"
	Members = "members"
)

// Link returns the proxy through which an entry host reaches a platform service,
// a peer, an endpoint or a worker. The proxy of a member exists once the host has
// read the membership list, which it has when New returns.
func (s *Site) Link(host, to string) *faultproxy.Proxy {
	s.t.Helper()
	for _, h := range s.Hosts {
		if h.Name == host {
			if p := h.links.get(to); p != nil {
				return p
			}
		}
	}
	s.t.Fatalf("%s has no link to %s", host, to)
	return nil
}

// Disconnect resets the connections from an entry host to others, and refuses new
// ones until Reconnect. Names are those of Link.
func (s *Site) Disconnect(host string, from ...string) {
	for _, name := range from {
		p := s.Link(host, name)
		p.SetFaults(faultproxy.Faults{Refuse: true})
		p.ResetAll()
	}
}

// DropTraffic discards all bytes between an entry host and others until Reconnect.
// Connections stay open.
func (s *Site) DropTraffic(host string, from ...string) {
	for _, name := range from {
		s.Link(host, name).SetFaults(faultproxy.Faults{DropToTarget: true, DropToClient: true})
	}
}

// Reconnect undoes Disconnect and DropTraffic. It resets open connections, since
// they may have lost bytes.
func (s *Site) Reconnect(host string, to ...string) {
	for _, name := range to {
		p := s.Link(host, name)
		p.ResetAll()
		p.SetFaults(faultproxy.Faults{})
	}
}

// Peers returns the names of the other entry hosts.
func (s *Site) Peers(host string) []string {
	var names []string
	for _, h := range s.Hosts {
		if h.Name != host {
			names = append(names, h.Name)
		}
	}
	return names
}

// DisconnectPeers disconnects an entry host from all others, in both directions,
// until ReconnectPeers.
func (s *Site) DisconnectPeers(host string) {
	s.Disconnect(host, s.Peers(host)...)
	for _, other := range s.Peers(host) {
		s.Disconnect(other, host)
	}
}

// ReconnectPeers undoes DisconnectPeers.
func (s *Site) ReconnectPeers(host string) {
	s.Reconnect(host, s.Peers(host)...)
	for _, other := range s.Peers(host) {
		s.Reconnect(other, host)
	}
}

// TableFaults replaces the faults of the table, for all entry hosts.
func (s *Site) TableFaults(f standin.Faults) {
	s.t.Helper()
	s.must(s.post(s.addresses.Table+"/faults", f))
}

// ObjectFaults replaces the faults of the object store, for all entry hosts.
func (s *Site) ObjectFaults(f standin.Faults) {
	s.t.Helper()
	s.must(s.post(s.addresses.Objects+"/faults", f))
}

// MemberFaults replaces the faults of the membership list, for all entry hosts.
func (s *Site) MemberFaults(f standin.Faults) {
	s.t.Helper()
	s.must(s.post(s.addresses.Members+"/faults", f))
}

// EndpointFaults replaces the faults of an endpoint.
func (s *Site) EndpointFaults(name string, f standin.EndpointFaults) {
	s.t.Helper()
	s.must(s.post("http://"+s.addresses.Others[name]+"/standin/faults", f))
}

// WorkerFaults replaces the faults of a worker.
func (s *Site) WorkerFaults(name string, f standin.WorkerFaults) {
	s.t.Helper()
	s.must(s.post("http://"+s.addresses.Others[name]+"/faults", f))
}

// Control sends an action, such as "leave", "return", "kill", "revive" or
// "unreachable", to the stand-ins.
func (s *Site) Control(action string, target standin.Target) {
	s.t.Helper()
	s.must(s.post(s.addresses.Control+"/"+action, target))
}

// RemoveMember removes a member from the membership list.
func (s *Site) RemoveMember(member string) {
	s.t.Helper()
	s.must(s.post(s.addresses.Members+"/remove", standin.Removal{Name: member}))
}

// SetMemberState changes the state of a member in the membership list.
func (s *Site) SetMemberState(member string, state infra.MemberState) {
	s.t.Helper()
	s.must(s.post(s.addresses.Members+"/state", standin.StateChange{Name: member, State: state}))
}

// RegisterHost adds an entry host to the membership list again.
func (s *Site) RegisterHost(h *Host) {
	s.t.Helper()
	s.must(s.post(s.addresses.Control+"/entry-host",
		standin.EntryHostConfig{Name: h.Name, Peer: h.peer, Zone: h.settings.Host.Zone}))
}

// MemberList returns the members with their states and direct addresses, not those
// of the proxies.
func (s *Site) MemberList() (infra.MemberList, error) {
	req, err := http.NewRequest(http.MethodGet, "/members", nil)
	if err != nil {
		return infra.MemberList{}, errors.Wrap(err, "request membership list")
	}
	return readMembers(req, s.addresses.Members, s.client)
}

// shardsOf returns the names of the shards for a membership list.
func shardsOf(lease settings.Lease, list infra.MemberList) []string {
	return roster.Build(roster.Roster{}, list, lease).Shards()
}

// post sends v as JSON to a stand-in and expects status 200.
func (s *Site) post(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, url)
	}
	resp, err := s.client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, url)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return errors.Newf("post to %s: status %d: %s: %v", url, resp.StatusCode, text, err)
	}
	return nil
}
