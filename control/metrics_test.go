package control_test

import (
	"os"
	"regexp"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/control"
	"github.com/fireflygate/fireflygate/ingress"
	"github.com/fireflygate/fireflygate/logsink"
	"github.com/fireflygate/fireflygate/platform"
)

// descName matches the metric name in a descriptor's text.
var descName = regexp.MustCompile(`fqName: "([^"]+)"`)

// pageName matches the metric name in a table row of the documentation page.
var pageName = regexp.MustCompile("(?m)^\\| `(fireflygate_[a-z_]+)")

// collectors is a registerer that records the names of registered metrics.
type collectors struct {
	prometheus.Registerer
	names map[string]bool
}

// MustRegister implements prometheus.Registerer.
func (c *collectors) MustRegister(all ...prometheus.Collector) {
	for _, one := range all {
		d := make(chan *prometheus.Desc, 1)
		one.Describe(d)
		c.names[descName.FindStringSubmatch((<-d).String())[1]] = true
	}
}

// TestMetricsPage checks that the documentation lists exactly the existing
// metrics.
func TestMetricsPage(t *testing.T) {
	c := &collectors{names: map[string]bool{}}
	control.NewMetrics(c)
	(&logsink.Stats{}).Register(c)
	ingress.NewReport(nil, c)
	ingress.RegisterUsage(nil, c)
	platform.NewConfigWatch("", nil, nil, nil, nil).Register(c)
	page, err := os.ReadFile("../docs/METRICS-DOMAIN.md")
	if err != nil {
		t.Fatal(err)
	}
	onPage := map[string]bool{}
	for _, m := range pageName.FindAllStringSubmatch(string(page), -1) {
		onPage[m[1]] = true
		if !c.names[m[1]] {
			t.Errorf("%s is documented but doesn't exist", m[1])
		}
	}
	for name := range c.names {
		if !onPage[name] {
			t.Errorf("%s isn't documented", name)
		}
	}
}
