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

// Names of the platform's services among the links of an entry host.
const (
	Table   = "table"
	Objects = "objects"
	Members = "members"
)

// Link returns the proxy through which an entry host reaches a service of the
// platform, a peer, an endpoint or a worker. A member must have been read by
// the host, as it has when New returns.
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

// Cut parts an entry host from others: connections are reset, new ones
// refused, until Join. Names are those of Link.
func (s *Site) Disconnect(host string, from ...string) {
	for _, name := range from {
		p := s.Link(host, name)
		p.SetFaults(faultproxy.Faults{Refuse: true})
		p.ResetAll()
	}
}

// Drop parts an entry host from others: every byte is lost without a word,
// until Join.
func (s *Site) DropTraffic(host string, from ...string) {
	for _, name := range from {
		s.Link(host, name).SetFaults(faultproxy.Faults{DropToTarget: true, DropToClient: true})
	}
}

// Join undoes Cut and Drop. Connections that lost bytes are reset.
func (s *Site) Reconnect(host string, to ...string) {
	for _, name := range to {
		p := s.Link(host, name)
		p.ResetAll()
		p.SetFaults(faultproxy.Faults{})
	}
}

// Peers returns the names of the other entry hosts.
func (s *Site) Peers(of string) []string {
	var names []string
	for _, h := range s.Hosts {
		if h.Name != of {
			names = append(names, h.Name)
		}
	}
	return names
}

// DisconnectPeers parts an entry host from all others, both ways; ReconnectPeers undoes
// it.
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
	s.must(s.post(s.at.Table+"/faults", f))
}

// ObjectFaults replaces the faults of the object store, for all entry hosts.
func (s *Site) ObjectFaults(f standin.Faults) {
	s.t.Helper()
	s.must(s.post(s.at.Objects+"/faults", f))
}

// MemberFaults replaces the faults of the membership list, for all.
func (s *Site) MemberFaults(f standin.Faults) {
	s.t.Helper()
	s.must(s.post(s.at.Members+"/faults", f))
}

// EndpointFaults replaces the faults of an endpoint.
func (s *Site) EndpointFaults(name string, f standin.EndpointFaults) {
	s.t.Helper()
	s.must(s.post("http://"+s.at.Others[name]+"/standin/faults", f))
}

// WorkerFaults replaces the faults of a worker.
func (s *Site) WorkerFaults(name string, f standin.WorkerFaults) {
	s.t.Helper()
	s.must(s.post("http://"+s.at.Others[name]+"/faults", f))
}

// Control asks the stand-ins' control address for an action, such as "leave",
// "return", "kill", "revive" or "unreachable".
func (s *Site) Control(action string, target standin.Target) {
	s.t.Helper()
	s.must(s.post(s.at.Control+"/"+action, target))
}

// Remove takes a member from the membership list.
func (s *Site) RemoveMember(member string) {
	s.t.Helper()
	s.must(s.post(s.at.Members+"/remove", standin.Removal{Name: member}))
}

// List changes what the membership list says of a member.
func (s *Site) SetMemberState(member string, state infra.MemberState) {
	s.t.Helper()
	s.must(s.post(s.at.Members+"/state", standin.StateChange{Name: member, State: state}))
}

// RegisterHost puts an entry host on the membership list again.
func (s *Site) RegisterHost(h *Host) {
	s.t.Helper()
	s.must(s.post(s.at.Control+"/entry-host",
		standin.EntryHostConfig{Name: h.Name, Peer: h.peer, Zone: h.settings.Host.Zone}))
}

// MemberList reads the true addresses and states of all members.
func (s *Site) MemberList() (infra.MemberList, error) {
	req, err := http.NewRequest(http.MethodGet, "/members", nil)
	if err != nil {
		return infra.MemberList{}, errors.Wrap(err, "members")
	}
	return readMembers(req, s.at.Members, s.client)
}

// shardsOf returns the shards that a list gives.
func shardsOf(lease settings.Lease, list infra.MemberList) []string {
	return roster.Build(roster.Roster{}, list, lease).Shards()
}

// post sends a value as JSON to a stand-in.
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
		return errors.Newf("%s: status %d: %s: %v", url, resp.StatusCode, text, err)
	}
	return nil
}
