package gate

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflygate/fireflygate/internal/peernet"
	"github.com/fireflygate/fireflygate/standin"
)

// configSite is a set of entry hosts with a store, in virtual time. The processes of
// its hosts follow the configuration as those of real hosts do.
type configSite struct {
	t       *testing.T
	network *peernet.Network
	table   *standin.Table
	objects *standin.Objects
	hosts   []*siteHost
	names   []string
	// instants counts the calls of apart.
	instants atomic.Int64
	// onApplied is called with each version that a process puts into force.
	onApplied func(h *siteHost, version uint64)
}

// newConfigSite starts hosts h0, h1, ... and waits until version 1 is in force on each.
// It must be called in a bubble of synctest.
func newConfigSite(t *testing.T, hosts int) *configSite {
	t.Helper()
	s := &configSite{t: t, network: peernet.New(), table: standin.NewTable(), objects: standin.NewObjects()}
	for i := range hosts {
		s.names = append(s.names, fmt.Sprint("h", i))
	}
	for i, name := range s.names {
		h := &siteHost{site: s, name: name}
		h.list(slices.Concat(s.names[:i], s.names[i+1:]))
		s.hosts = append(s.hosts, h)
	}
	t.Cleanup(s.close)
	for _, h := range s.hosts {
		<-time.After(s.apart())
		h.start()
	}
	<-time.After(configBound)
	if err := s.hosts[0].apply(0); err != nil {
		t.Fatal(err)
	}
	<-time.After(configBound)
	s.wantInForce(1, s.hosts...)
	return s
}

// apart returns a short time that differs from those before. It keeps hosts from acting
// at one instant: a round that outlasts its ticker then runs that timer itself, and the
// race detector of this Go release crashes if two goroutines of a bubble do so at once.
func (s *configSite) apart() time.Duration {
	const different = 997
	return time.Duration(1+s.instants.Add(1)%different) * time.Nanosecond
}

// configBound is the time within which an accepted version must be in force on every
// host, and a host that was replaced must serve.
const configBound = 4 * time.Second

// close kills all processes and waits until their goroutines have ended.
func (s *configSite) close() {
	for _, h := range s.hosts {
		h.kill()
	}
	const requestsEnd = 5 * time.Second
	<-time.After(requestsEnd)
}

// host returns a host by its name.
func (s *configSite) host(name string) *siteHost { return s.hosts[slices.Index(s.names, name)] }

// wantInForce fails the test unless the hosts have a version in force.
func (s *configSite) wantInForce(version uint64, hosts ...*siteHost) {
	s.t.Helper()
	for _, h := range hosts {
		if v, ok := h.version(); !ok || v != version {
			s.t.Errorf("%s: version %d in force (%v), want %d", h.name, v, ok, version)
		}
	}
}

// wantNotOlder fails the test if a host has an older version in force.
func (s *configSite) wantNotOlder(version uint64, h *siteHost) {
	s.t.Helper()
	if v, ok := h.version(); ok && v < version {
		s.t.Errorf("%s went from version %d to %d", h.name, version, v)
	}
}
