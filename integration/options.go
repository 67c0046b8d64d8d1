package integration

import (
	"time"

	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// Service is the name of a site's interactive service.
const Service = "dispatch"

const region = "bergamo"

var zones = []string{"citta-alta", "borgo-palazzo", "longuelo", "colognola"}

// Options configures a site.
type Options struct {
	// Hosts is the number of entry hosts, named gate-0 and so on; 3 if 0.
	Hosts int
	// StandIns changes the stand-ins' configuration.
	StandIns func(*standin.Config)
	// Settings changes the settings of each entry host.
	Settings func(host int, s *settings.Settings)
	// Programs replaces the programs that TestMain built, if set.
	Programs *Programs
}

func (o Options) hosts() int {
	const defaultHosts = 3
	if o.Hosts == 0 {
		return defaultHosts
	}
	return o.Hosts
}

// standIns returns the stand-ins' configuration. The default is 6 endpoints of 4
// slots and 4 workers.
func (o Options) standIns() standin.Config {
	c := standin.DefaultConfig()
	c.Region, c.Zones = region, zones
	c.Services = []standin.ServiceConfig{{
		Name: Service, Endpoints: 6, Slots: 4, Connections: 32,
		Work: standin.WorkTime{MedianMS: 20, Sigma: 0.4, Seed: 1},
	}}
	c.Workers = standin.WorkersConfig{Count: 4, PerRack: 2, MilliCPU: 64_000, MemoryMB: 250_000, LagMS: 300}
	if o.StandIns != nil {
		o.StandIns(&c)
	}
	return c
}

// settings returns the settings of an entry host. Leases are short, so that a
// test waits only seconds for them to expire.
func (o Options) settings(host int) settings.Settings {
	s := settings.Default()
	s.Host.Region, s.Host.Zone = region, zones[host%len(zones)]
	s.Host.DrainDelay = settings.Duration(400 * time.Millisecond)
	s.Host.DrainTimeout = settings.Duration(20 * time.Second)
	s.Platform.Timeout = settings.Duration(time.Second)
	s.Platform.MembersInterval = settings.Duration(100 * time.Millisecond)
	s.Platform.ConfigInterval = settings.Duration(200 * time.Millisecond)
	s.Lease.Session = settings.Duration(1500 * time.Millisecond)
	s.Lease.Renew = settings.Duration(300 * time.Millisecond)
	s.Lease.EndpointShards, s.Lease.WorkerShardsPerZone = 6, 1
	s.Lease.MaxRun = settings.Duration(time.Second)
	s.Lease.TaskLease = settings.Duration(3 * time.Second)
	s.Calls.Timeout = settings.Duration(time.Second)
	s.Calls.ConnectionsPerCaller = 4096
	s.Batch.Exchange = settings.Duration(200 * time.Millisecond)
	s.Batch.QuarantineFor = settings.Duration(2 * time.Second)
	s.Colocation.UsageLag = settings.Duration(500 * time.Millisecond)
	s.Colocation.EvictAfter = settings.Duration(time.Second)
	s.Services = map[string]settings.Service{Service: {Slots: 4, Connections: 32, IdempotentMethods: []string{"GET"}}}
	s.Teams = map[string]settings.Team{"rounds": {Weight: 2}, "offices": {Weight: 1}}
	if o.Settings != nil {
		o.Settings(host, &s)
	}
	return s
}
