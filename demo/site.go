package demo

import (
	"time"

	"github.com/fireflygate/fireflygate/check"
	"github.com/fireflygate/fireflygate/settings"
	"github.com/fireflygate/fireflygate/standin"
)

// The site is a scaled-down model of the Bergamo site.
const (
	region    = "bergamo"
	service   = "dispatch"
	hostCount = 3
	// eventName is the event that starts in the middle of the run.
	eventName = "morning-rounds"
	// serviceClass is the class of the service's own tasks on workers.
	serviceClass = "dispatch-agent"
)

var (
	zones = []string{"citta-alta", "borgo-palazzo", "longuelo", "colognola"}
	teams = []string{"rounds", "rosters", "offices"}
	// batchClasses are the batch job classes.
	batchClasses = []string{"route-plan", "roster", "archive"}
)

// standinConfig returns the configuration of the stand-ins. Actual sizes and run
// times of jobs differ from the declared ones, and some classes slow others down.
func standinConfig(seed uint64, recorder *check.Recorder) standin.Config {
	c := standin.DefaultConfig()
	c.Region, c.Zones, c.Recorder = region, zones, recorder
	c.Services = []standin.ServiceConfig{{
		Name: service, Endpoints: 16, Slots: 8, Connections: 64,
		Work: standin.WorkTime{MedianMS: 15, Sigma: 0.4, Seed: seed},
	}}
	c.Workers = standin.WorkersConfig{Count: 16, PerRack: 4, MilliCPU: 64_000, MemoryMB: 250_000, LagMS: 500}
	c.Behaviour = standin.Behaviour{
		Slowdown: map[string]map[string]float64{
			serviceClass: {"archive": 0.5, "route-plan": 0.05},
			"route-plan": {"archive": 0.1},
		},
		Size:      map[string]float64{"archive": 1.5, "roster": 0.5},
		Work:      map[string]float64{"roster": 1.3},
		LatencyMS: map[string]float64{serviceClass: 40},
	}
	return c
}

// hostSettings returns the settings of an entry host. Its leases are short enough
// for a handover within seconds.
func hostSettings(name, zone string, eventStart time.Time) settings.Settings {
	s := settings.Default()
	s.Host.Name, s.Host.Region, s.Host.Zone = name, region, zone
	s.Host.DrainDelay = settings.Duration(300 * time.Millisecond)
	s.Host.DrainTimeout = settings.Duration(20 * time.Second)
	s.Platform.Timeout = settings.Duration(time.Second)
	s.Platform.MembersInterval = settings.Duration(100 * time.Millisecond)
	s.Lease.Session = settings.Duration(1500 * time.Millisecond)
	s.Lease.Renew = settings.Duration(300 * time.Millisecond)
	s.Lease.EndpointShards, s.Lease.WorkerShardsPerZone = 9, 1
	s.Lease.MaxRun = settings.Duration(time.Second)
	s.Calls.Timeout = settings.Duration(time.Second)
	s.Batch.Exchange = settings.Duration(200 * time.Millisecond)
	s.Lease.TaskLease = settings.Duration(5 * time.Second)
	s.Calls.ConnectionsPerCaller = 2 * maxInFlight
	s.Services = map[string]settings.Service{service: {Slots: 8, Connections: 64, IdempotentMethods: []string{"GET"}}}
	s.Teams = map[string]settings.Team{}
	for i, team := range teams {
		s.Teams[team] = settings.Team{Weight: float64(i + 1)}
	}
	s.Events = map[string]settings.Event{eventName: {
		Start: eventStart.Format(time.RFC3339Nano), Services: []string{service}, Headroom: 0.3,
		Before: settings.Duration(time.Second), After: settings.Duration(2 * time.Second),
	}}
	s.Classes = map[string]settings.Class{serviceClass: {Latency: settings.Duration(60 * time.Millisecond)}}
	s.Objectives = map[string]settings.Objective{"gate": {
		Service: service, Latency: settings.Duration(200 * time.Millisecond),
		Target: 0.99, Period: settings.Duration(720 * time.Hour),
	}}
	return s
}
