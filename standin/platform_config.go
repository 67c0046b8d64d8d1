package standin

import (
	"fmt"
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/infra"
)

// Config configures a Platform.
type Config struct {
	// Region and Zones locate the members, which are assigned to zones round-robin.
	Region string   `toml:"region"`
	Zones  []string `toml:"zones"`
	// Services are the interactive services.
	Services []ServiceConfig `toml:"services"`
	// Workers are the worker hosts.
	Workers WorkersConfig `toml:"workers"`
	// EntryHosts are listed as members; the Platform doesn't run them.
	EntryHosts []EntryHostConfig `toml:"entry_hosts"`
	// Behaviour defines how job classes actually behave.
	Behaviour Behaviour `toml:"behaviour"`
	// Listen is the IP address of all listeners; loopback if empty.
	Listen string `toml:"listen"`
	// TablePort, ObjectsPort and MembersPort are listen ports; 0 selects a free
	// one.
	TablePort   int `toml:"table_port"`
	ObjectsPort int `toml:"objects_port"`
	MembersPort int `toml:"members_port"`
	// Recorder receives the records of all stand-ins; nil discards them.
	Recorder *check.Recorder `toml:"-"`
}

// ServiceConfig describes the endpoints of one service.
type ServiceConfig struct {
	Name string `toml:"name"`
	// Endpoints is the number of endpoints.
	Endpoints   int      `toml:"endpoints"`
	Slots       int      `toml:"slots"`
	Connections int      `toml:"connections"`
	Work        WorkTime `toml:"work"`
}

// WorkersConfig describes the worker hosts.
type WorkersConfig struct {
	// Count is the number of worker hosts.
	Count int `toml:"count"`
	// PerRack is the number of workers in one rack.
	PerRack  int   `toml:"per_rack"`
	MilliCPU int64 `toml:"milli_cpu"`
	MemoryMB int64 `toml:"memory_mb"`
	// Accelerators is the number of accelerators of each worker.
	Accelerators int64 `toml:"accelerators"`
	// LagMS is the delay of usage reports, in milliseconds.
	LagMS int64 `toml:"lag_ms"`
}

// EntryHostConfig describes an entry host for the membership list.
type EntryHostConfig struct {
	Name string `toml:"name" json:"name"`
	// Peer is the IP:port on which it serves its peers.
	Peer string `toml:"peer" json:"peer"`
	Zone string `toml:"zone" json:"zone"`
}

// DefaultConfig returns a small configuration: four zones, 8 endpoints of the
// service dispatch and 8 workers.
func DefaultConfig() Config {
	return Config{
		Region: "bergamo",
		Zones:  []string{"citta-alta", "borgo-palazzo", "longuelo", "colognola"},
		Services: []ServiceConfig{{
			Name: "dispatch", Endpoints: 8, Slots: 8, Connections: 64,
			Work: WorkTime{MedianMS: 20, Sigma: 0.5, Seed: 1},
		}},
		Workers: WorkersConfig{Count: 8, PerRack: 2, MilliCPU: 64000, MemoryMB: 250000, LagMS: 2000},
	}
}

// zone returns the zone of the i-th member of a kind.
func (c Config) zone(i int) string {
	if len(c.Zones) == 0 {
		return ""
	}
	return c.Zones[i%len(c.Zones)]
}

// rack returns the rack of the i-th worker. A rack lies within one zone.
func (c Config) rack(i int) string {
	within := i / max(len(c.Zones), 1)
	return fmt.Sprintf("%s-rack%d", c.zone(i), within/max(c.Workers.PerRack, 1))
}

// worker returns the configuration of the i-th worker.
func (c Config) worker(i int) WorkerConfig {
	return WorkerConfig{
		Name: fmt.Sprintf("worker-%d", i),
		Zone: c.zone(i),
		Rack: c.rack(i),
		Capacity: infra.Resources{
			MilliCPU:     c.Workers.MilliCPU,
			MemoryMB:     c.Workers.MemoryMB,
			Accelerators: c.Workers.Accelerators,
		},
		Lag:       time.Duration(c.Workers.LagMS) * time.Millisecond,
		Behaviour: c.Behaviour,
		Recorder:  c.Recorder,
	}
}

// endpoint returns the configuration of the i-th endpoint of a service.
func (c Config) endpoint(s ServiceConfig, i int) EndpointConfig {
	work := s.Work
	work.Seed += uint64(i)
	return EndpointConfig{
		Name:        fmt.Sprintf("%s-%d", s.Name, i),
		Service:     s.Name,
		Zone:        c.zone(i),
		Slots:       s.Slots,
		Connections: s.Connections,
		Work:        work,
		Recorder:    c.Recorder,
	}
}
