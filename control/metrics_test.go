package control_test

import (
	"os"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/control"
	"github.com/fireflygate/fireflygate/logsink"
)

// described is the name in a metric's description.
var described = regexp.MustCompile(`fqName: "([^"]+)"`)

// listed is the name in a row of the page.
var listed = regexp.MustCompile("(?m)^\\| `(fireflygate_[a-z_]+)")

// collectors keeps what is registered.
type collectors struct {
	prometheus.Registerer
	names map[string]bool
}

// MustRegister implements prometheus.Registerer.
func (c *collectors) MustRegister(all ...prometheus.Collector) {
	for _, one := range all {
		d := make(chan *prometheus.Desc, 1)
		one.Describe(d)
		c.names[described.FindStringSubmatch((<-d).String())[1]] = true
	}
}

// TestMetricsPage compares the page with the code, both ways.
func TestMetricsPage(t *testing.T) {
	c := &collectors{names: map[string]bool{}}
	control.NewMetrics(c)
	(&logsink.Stats{}).Register(c)
	page, err := os.ReadFile("../docs/METRICS-DOMAIN.md")
	if err != nil {
		t.Fatal(err)
	}
	onPage := map[string]bool{}
	for _, m := range listed.FindAllStringSubmatch(string(page), -1) {
		onPage[m[1]] = true
		if !c.names[m[1]] {
			t.Errorf("%s is on the page and not in the code", m[1])
		}
	}
	for name := range c.names {
		if !onPage[name] {
			t.Errorf("%s is in the code and not on the page", name)
		}
	}
}
