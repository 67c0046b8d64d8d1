package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/standin"
)

// maxSites is how many sites run at once.
const maxSites = 4

// Patience is how long Until waits; it bounds a scenario and decides nothing.
const ConditionTimeout = 30 * time.Second

// pollInterval is how often conditions are looked at.
const pollInterval = 20 * time.Millisecond

var (
	running = make(chan struct{}, maxSites)
	// built holds the programs that TestMain built.
	built Programs
)

// Site is a running site. Its methods fail the test for what could not be
// brought about; breaches of promises are what Check returns.
type Site struct {
	Hosts []*Host
	// Recorder takes what the test process records: callers and drains.
	Recorder *check.Recorder

	t        testing.TB
	programs Programs
	dir      string
	block    block
	standIn  *process
	at       standin.Addresses
	client   *http.Client
	callers  int
	watchers sync.WaitGroup
	machine  machineWatch
	stop     chan struct{}
}

// New starts a site and waits until all its shards are held in full. It ends
// with the test.
func New(t testing.TB, o Options) *Site {
	t.Helper()
	running <- struct{}{}
	s := &Site{
		t: t, dir: t.TempDir(), programs: built, Recorder: check.NewRecorder(nil),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		stop:   make(chan struct{}),
	}
	if o.Programs != nil {
		s.programs = *o.Programs
	}
	t.Cleanup(s.close)
	s.watchers.Go(func() { s.machine.run(s.stop) })
	s.must(s.start(o))
	s.WaitShardsHeld()
	return s
}

// start starts the stand-ins, then the entry hosts.
func (s *Site) start(o Options) error {
	var err error
	if s.block, err = takeBlock(); err != nil {
		return err
	}
	if err := s.startStandIns(o.standIns()); err != nil {
		return err
	}
	for i := range o.hosts() {
		if err := s.addHost(o, i); err != nil {
			return err
		}
	}
	for _, h := range s.Hosts {
		if err := h.start(s.programs.Gate); err != nil {
			return err
		}
		s.watchers.Go(func() { s.watch(h) })
	}
	return nil
}

// startStandIns starts their process and reads its addresses.
func (s *Site) startStandIns(c standin.Config) error {
	c.Listen = s.block.standIns()
	data, err := toml.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "stand-ins")
	}
	file := filepath.Join(s.dir, "standin.toml")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return errors.Wrap(err, "stand-ins")
	}
	r, w, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "stand-ins")
	}
	defer r.Close()
	s.standIn, err = startProcess(filepath.Join(s.dir, "standin.log"), w,
		s.programs.StandIn, "serve", "-config", file, "-records", s.recordsFile())
	// The child has its own copy; ours would hide its end.
	w.Close()
	if err != nil {
		return err
	}
	line, err := bufio.NewReader(r).ReadBytes('\n')
	if err != nil {
		return errors.Wrapf(err, "stand-ins: %s", s.standIn.tail(2000))
	}
	return errors.Wrap(json.Unmarshal(line, &s.at), "stand-ins")
}

func (s *Site) recordsFile() string { return filepath.Join(s.dir, "records.jsonl") }

// addHost makes the links and settings of an entry host, and lists it.
func (s *Site) addHost(o Options, i int) error {
	h := &Host{
		Name:         fmt.Sprintf("gate-%d", i),
		CallersURL:   "http://" + s.block.address(i, callersPort),
		OperatorsURL: "http://" + s.block.address(i, operatorsPort),
		peer:         s.block.address(i, peersPort),
		dir:          s.dir, links: newLinks(), client: s.client,
	}
	s.Hosts = append(s.Hosts, h)
	h.view = newMemberView(s.at.Members, s.client, h.links)
	h.settings = o.settings(i)
	h.settings.Host.Name = h.Name
	h.settings.Host.Listen, h.settings.Host.Operators = hostOf(h.CallersURL), hostOf(h.OperatorsURL)
	h.settings.Host.Peer = h.peer
	for _, one := range []struct {
		name, target string
		to           *string
	}{
		{"table", s.at.Table, &h.settings.Platform.Table},
		{"objects", s.at.Objects, &h.settings.Platform.Objects},
		{"members", h.view.URL, &h.settings.Platform.Members},
	} {
		address, err := h.links.to(one.name, hostOf(one.target))
		if err != nil {
			return err
		}
		*one.to = "http://" + address
	}
	if err := h.write(); err != nil {
		return err
	}
	return s.post(s.at.Control+"/entry-host", standin.EntryHostConfig{Name: h.Name, Peer: h.peer, Zone: h.settings.Host.Zone})
}

// close ends all processes and proxies.
func (s *Site) close() {
	defer func() { <-running }()
	defer s.keep()
	close(s.stop)
	for _, h := range s.Hosts {
		if p := h.current(); p != nil {
			p.kill()
			s.examine(h.Name, p)
		}
	}
	s.watchers.Wait()
	for _, h := range s.Hosts {
		h.links.close()
		h.view.Close()
	}
	if s.standIn != nil {
		s.standIn.kill()
		s.examine("stand-ins", s.standIn)
	}
	if s.block.guard != nil {
		s.block.guard.Close()
	}
	s.client.CloseIdleConnections()
}

// examine reports data races, and what a process logged if the test failed.
func (s *Site) examine(name string, p *process) {
	const shown = 6000
	if p.raced() {
		s.t.Errorf("%s: data race", name)
	}
	if s.t.Failed() {
		s.t.Logf("%s logged at last:\n%s", name, p.tail(shown))
	}
}

// must fails the test for what could not be brought about.
func (s *Site) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}
