package standin

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

const (
	loopback = "127.0.0.1"
	// driveStep is the interval at which workers advance their simulated time.
	driveStep = 20 * time.Millisecond
)

// Platform runs all stand-ins that entry hosts need, each on its own listener: the
// platform's three services, endpoints and workers.
type Platform struct {
	Table     *Table
	Objects   *Objects
	Members   *Members
	Endpoints []*Endpoint
	Workers   []*Worker

	config  Config
	servers map[string]*server
	cancel  context.CancelFunc
	drivers sync.WaitGroup
}

// Names of the servers that aren't endpoints or workers.
const (
	tableServer   = "table"
	objectsServer = "objects"
	membersServer = "members"
	controlServer = "control"
)

// Start starts all stand-ins of the configuration. Close stops them.
func Start(config Config) (*Platform, error) {
	if config.Listen == "" {
		config.Listen = loopback
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{
		Table:   NewTable(),
		Objects: NewObjects(),
		Members: NewMembers(config.Recorder),
		config:  config,
		servers: map[string]*server{},
		cancel:  cancel,
	}
	if err := p.start(ctx); err != nil {
		return nil, errors.CombineErrors(err, p.Close())
	}
	return p, nil
}

func (p *Platform) start(ctx context.Context) error {
	if err := p.startServices(); err != nil {
		return err
	}
	for _, s := range p.config.Services {
		for i := range s.Endpoints {
			if err := p.startEndpoint(p.config.endpoint(s, i)); err != nil {
				return err
			}
		}
	}
	for i := range p.config.Workers.Count {
		if err := p.startWorker(ctx, p.config.worker(i)); err != nil {
			return err
		}
	}
	for _, h := range p.config.EntryHosts {
		p.PutEntryHost(h)
	}
	return nil
}

func (p *Platform) startServices() error {
	if _, err := p.serve(tableServer, &server{handler: p.Table.Handler()}, p.config.TablePort); err != nil {
		return err
	}
	if _, err := p.serve(objectsServer, &server{handler: p.Objects.Handler()}, p.config.ObjectsPort); err != nil {
		return err
	}
	if _, err := p.serve(membersServer, &server{handler: p.Members.Handler()}, p.config.MembersPort); err != nil {
		return err
	}
	_, err := p.serve(controlServer, &server{handler: p.controlHandler()}, 0)
	return err
}

func (p *Platform) startEndpoint(c EndpointConfig) error {
	e := NewEndpoint(c)
	p.Endpoints = append(p.Endpoints, e)
	address, err := p.serve(c.Name, &server{handler: e.Handler(), connState: e.ConnState}, 0)
	if err != nil {
		return err
	}
	p.Members.Put(infra.Member{
		Kind: infra.Endpoint, Name: c.Name, Address: address,
		Region: p.config.Region, Zone: c.Zone, State: infra.Live,
		Service: c.Service, Slots: c.Slots, Connections: c.Connections,
	})
	return nil
}

func (p *Platform) startWorker(ctx context.Context, c WorkerConfig) error {
	w := NewWorker(c, time.Now())
	p.Workers = append(p.Workers, w)
	address, err := p.serve(c.Name, &server{handler: w.Handler()}, 0)
	if err != nil {
		return err
	}
	p.drivers.Go(func() { w.Drive(ctx, driveStep) })
	p.Members.Put(infra.Member{
		Kind: infra.Worker, Name: c.Name, Address: address,
		Region: p.config.Region, Zone: c.Zone, Rack: c.Rack,
		State: infra.Live, Capacity: c.Capacity,
	})
	return nil
}

// serve starts a server, registers it under name and returns its address. Port 0
// selects a free port.
func (p *Platform) serve(name string, s *server, port int) (string, error) {
	if _, dup := p.servers[name]; dup {
		return "", errors.Newf("duplicate stand-in name %q", name)
	}
	if err := s.start(net.JoinHostPort(p.config.Listen, strconv.Itoa(port))); err != nil {
		return "", errors.Wrap(err, name)
	}
	p.servers[name] = s
	return s.address, nil
}

// PutEntryHost lists an entry host as a live member.
func (p *Platform) PutEntryHost(h EntryHostConfig) {
	p.Members.Put(infra.Member{
		Kind: infra.EntryHost, Name: h.Name, Address: h.Peer,
		Region: p.config.Region, Zone: h.Zone, State: infra.Live,
	})
}

// SetUnreachable closes the listener and the connections of an endpoint, a worker or
// a service ("table", "objects", "members"), or listens again on the same address.
func (p *Platform) SetUnreachable(name string, down bool) error {
	s, ok := p.servers[name]
	if !ok {
		return errors.Newf("no stand-in is named %q", name)
	}
	return s.setDown(down)
}

// KillWorker simulates the crash of a worker host: its runs are lost and it refuses
// connections until ReviveWorker.
func (p *Platform) KillWorker(name string) error {
	return p.setDead(name, true)
}

// ReviveWorker restarts a killed worker host with no state.
func (p *Platform) ReviveWorker(name string) error {
	return p.setDead(name, false)
}

func (p *Platform) setDead(name string, dead bool) error {
	for _, w := range p.Workers {
		if w.Name() == name {
			f := w.Faults()
			f.Dead = dead
			w.Set(f)
			return p.SetUnreachable(name, dead)
		}
	}
	return errors.Newf("no worker is named %q", name)
}

// Restart ends the process of a worker or an endpoint, which starts again at once under
// its name and address: its connections break, and all that it knew is lost.
func (p *Platform) Restart(name string) error {
	restart := p.restartOf(name)
	if restart == nil {
		return errors.Newf("no worker or endpoint is named %q", name)
	}
	if err := p.SetUnreachable(name, true); err != nil {
		return err
	}
	restart()
	return p.SetUnreachable(name, false)
}

// restartOf returns the function that begins another life of a worker or an endpoint, nil
// if there is none of that name.
func (p *Platform) restartOf(name string) func() {
	for _, w := range p.Workers {
		if w.Name() == name {
			return w.Restart
		}
	}
	for _, e := range p.Endpoints {
		if e.Name() == name {
			return e.Restart
		}
	}
	return nil
}

// Addresses returns the addresses of all stand-ins.
func (p *Platform) Addresses() Addresses {
	a := Addresses{
		Table:   p.url(tableServer),
		Objects: p.url(objectsServer),
		Members: p.url(membersServer),
		Control: p.url(controlServer),
		Others:  map[string]string{},
	}
	for name, s := range p.servers {
		switch name {
		case tableServer, objectsServer, membersServer, controlServer:
		default:
			a.Others[name] = s.address
		}
	}
	return a
}

func (p *Platform) url(name string) string {
	return fmt.Sprintf("http://%s", p.servers[name].address)
}

// Close stops all stand-ins and aborts their requests.
func (p *Platform) Close() error {
	p.cancel()
	for _, e := range p.Endpoints {
		e.Close()
	}
	var err error
	for _, s := range p.servers {
		err = errors.CombineErrors(err, s.close())
	}
	p.drivers.Wait()
	return err
}
