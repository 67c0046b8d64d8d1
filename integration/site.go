package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/standin"
)

// maxSites limits the sites that run concurrently, processorsPerSite is what each may take
// with the race detector while its hosts start.
const (
	maxSites          = 4
	processorsPerSite = 4
)

// ConditionTimeout is the longest time that WaitUntil waits for a condition.
const ConditionTimeout = 30 * time.Second

// pollInterval is the time between two evaluations of a condition.
const pollInterval = 20 * time.Millisecond

var (
	siteSlots = make(chan struct{}, min(maxSites, max(runtime.GOMAXPROCS(0)/processorsPerSite, 1)))
	// built is set by TestMain.
	built Programs
)

// Site is a running site. Its methods fail the test if an action fails; Check
// fails it for violations of promises.
type Site struct {
	Hosts []*Host
	// Recorder holds the records of the test process: of callers, drains and
	// configurations.
	Recorder *check.Recorder

	t          testing.TB
	programs   Programs
	dir        string
	block      addressBlock
	standIn    *process
	addresses  standin.Addresses
	client     *http.Client
	callers    int
	background sync.WaitGroup
	pauses     pauseMonitor
	stop       chan struct{}
}

// New starts a site and waits until all its shards are held in full. The site is
// stopped when the test ends.
func New(t testing.TB, o Options) *Site {
	t.Helper()
	siteSlots <- struct{}{}
	s := &Site{
		t: t, dir: t.TempDir(), programs: built, Recorder: check.NewRecorder(nil),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		stop:   make(chan struct{}),
	}
	if o.Programs != nil {
		s.programs = *o.Programs
	}
	t.Cleanup(s.close)
	s.background.Go(func() { s.pauses.run(s.stop) })
	s.must(s.start(o))
	s.WaitShardsHeld()
	return s
}

// start starts the stand-ins, then the entry hosts.
func (s *Site) start(o Options) error {
	var err error
	if s.block, err = reserveBlock(); err != nil {
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
		s.background.Go(func() { s.watchConfig(h) })
	}
	return nil
}

// startStandIns starts the process of the stand-ins and reads their addresses from
// its output.
func (s *Site) startStandIns(c standin.Config) error {
	c.Listen = s.block.standInIP()
	data, err := toml.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode stand-in configuration")
	}
	file := filepath.Join(s.dir, "standin.toml")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return errors.Wrap(err, "write stand-in configuration")
	}
	r, w, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "create pipe for stand-ins")
	}
	defer r.Close()
	s.standIn, err = startProcess(filepath.Join(s.dir, "standin.log"), w,
		s.programs.StandIn, "serve", "-config", file, "-records", s.recordsFile())
	// The child has its own copy. While this one is open, reads don't return an end
	// of file when the child ends.
	w.Close()
	if err != nil {
		return err
	}
	line, err := bufio.NewReader(r).ReadBytes('\n')
	if err != nil {
		return errors.Wrapf(err, "read addresses from stand-ins, end of their log: %s", s.standIn.tail(2000))
	}
	return errors.Wrap(json.Unmarshal(line, &s.addresses), "decode addresses from stand-ins")
}

func (s *Site) recordsFile() string { return filepath.Join(s.dir, "records.jsonl") }

// addHost creates the links and settings of an entry host, and adds it to the
// membership list.
func (s *Site) addHost(o Options, i int) error {
	h := &Host{
		Name:         fmt.Sprintf("gate-%d", i),
		CallersURL:   "http://" + s.block.address(i, callersPort),
		OperatorsURL: "http://" + s.block.address(i, operatorsPort),
		peer:         s.block.address(i, peersPort),
		dir:          s.dir, links: newLinks(), client: s.client,
	}
	s.Hosts = append(s.Hosts, h)
	h.members = newMembersProxy(s.addresses.Members, s.client, h.links)
	h.settings = o.settings(i)
	h.settings.Host.Name = h.Name
	h.settings.Host.Listen, h.settings.Host.Operators = hostPort(h.CallersURL), hostPort(h.OperatorsURL)
	h.settings.Host.Peer = h.peer
	for _, service := range []struct {
		name, target string
		to           *string
	}{
		{"table", s.addresses.Table, &h.settings.Platform.Table},
		{"objects", s.addresses.Objects, &h.settings.Platform.Objects},
		{"members", h.members.URL, &h.settings.Platform.Members},
	} {
		address, err := h.links.address(service.name, hostPort(service.target))
		if err != nil {
			return err
		}
		*service.to = "http://" + address
	}
	if err := h.writeConfig(); err != nil {
		return err
	}
	return s.post(s.addresses.Control+"/entry-host", standin.EntryHostConfig{Name: h.Name, Peer: h.peer, Zone: h.settings.Host.Zone})
}

// close stops all processes and proxies, reports their logs and keeps the files of
// a failed test if -keep is set.
func (s *Site) close() {
	defer func() { <-siteSlots }()
	defer s.keepFiles()
	close(s.stop)
	for _, h := range s.Hosts {
		if p := h.current(); p != nil {
			p.kill()
			s.reportLog(h.Name, p)
		}
	}
	s.background.Wait()
	for _, h := range s.Hosts {
		h.links.close()
		h.members.Close()
	}
	if s.standIn != nil {
		s.standIn.kill()
		s.reportLog("stand-ins", s.standIn)
	}
	if s.block.lock != nil {
		s.block.lock.Close()
	}
	s.client.CloseIdleConnections()
}

// reportLog fails the test if the process logged a data race, and prints the end
// of the log if the test has failed.
func (s *Site) reportLog(name string, p *process) {
	const maxLogTail = 6000
	if p.hasDataRace() {
		s.t.Errorf("%s: the race detector reported a data race", name)
	}
	if s.t.Failed() {
		s.t.Logf("end of the log of %s:\n%s", name, p.tail(maxLogTail))
	}
}

// must ends the test if err is not nil.
func (s *Site) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}
