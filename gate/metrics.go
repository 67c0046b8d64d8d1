package gate

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/ownership"
)

// shardsHeld describes the number of held shards by usable share.
var shardsHeld = prometheus.NewDesc(
	"fireflygate_shards_held", "Shards held, by the share of their capacity that may be used.", []string{"share"}, nil)

// registerMetrics registers the gauges of the host's state.
func (g *Gate) registerMetrics() {
	gauge := func(name, help string, read func() float64) {
		g.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	gauge("fireflygate_ready", "1 while the host takes requests, else 0.", func() float64 {
		return boolToFloat(g.State() == Ready)
	})
	gauge("fireflygate_store_up", "1 while the platform's table answers, else 0.", func() float64 {
		return boolToFloat(g.ownershipDriver.StoreOK())
	})
	gauge("fireflygate_config_version", "Version of the configuration in force.", func() float64 {
		return float64(g.configSync.version())
	})
	gauge("fireflygate_zones_closed", "Availability zones that are closed, as far as this host knows.", func() float64 {
		return float64(len(g.closedZoneNames()))
	})
	g.registry.MustRegister(&shardsCollector{gate: g})
}

func boolToFloat(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// shardsCollector counts the held shards by share at each scrape.
type shardsCollector struct{ gate *Gate }

// Describe implements prometheus.Collector.
func (c *shardsCollector) Describe(to chan<- *prometheus.Desc) { to <- shardsHeld }

// Collect implements prometheus.Collector.
func (c *shardsCollector) Collect(to chan<- prometheus.Metric) {
	now := c.gate.deps.Now()
	held := map[ownership.Share]int{ownership.Half: 0, ownership.Full: 0}
	for _, grant := range c.gate.ownershipDriver.Snapshot().Grants {
		if share := grant.At(now); share != ownership.None {
			held[share]++
		}
	}
	for share, n := range held {
		to <- prometheus.MustNewConstMetric(shardsHeld, prometheus.GaugeValue, float64(n), share.String())
	}
}
