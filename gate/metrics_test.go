package gate

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/fireflygate/fireflygate/settings"
)

var (
	// rowPattern is a row of the page: | `name{labels}` | type | meaning |.
	rowPattern = regexp.MustCompile("(?m)^\\| `(fireflygate_[a-z_]+)(?:\\{([a-z,]*)\\})?` \\| (?:counter|gauge|histogram) \\| .+ \\|$")
	// descPattern is how a description prints itself.
	descPattern = regexp.MustCompile(`fqName: "([a-z_]+)", help: "(.*)", constLabels: \{\}, variableLabels: \{([a-z,]*)\}`)
	// usePattern is a metric in the rules for alerts.
	usePattern = regexp.MustCompile(`fireflygate_[a-z_]+`)
)

// TestMetricsAreOnThePage checks that docs/METRICS.md lists just the metrics
// of a running host with their labels, and that its rules use no others.
func TestMetricsAreOnThePage(t *testing.T) {
	text, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := map[string]string{}
	for _, row := range rowPattern.FindAllStringSubmatch(string(text), -1) {
		page[row[1]] = row[2]
	}
	g, _, _ := startGate(t, func(*settings.Settings) {})
	have := described(t, g.registry)
	if !maps.Equal(page, have) {
		t.Errorf("the page lists %v", slices.Sorted(maps.Keys(page)))
		t.Errorf("the host has %v", slices.Sorted(maps.Keys(have)))
	}
	_, rules, _ := strings.Cut(string(text), "```yaml")
	names := usePattern.FindAllString(rules, -1)
	if len(names) == 0 {
		t.Error("no rules on the page")
	}
	for _, name := range names {
		base := name
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			base = strings.TrimSuffix(base, suffix)
		}
		if _, ok := have[base]; !ok {
			t.Errorf("a rule uses %s, which no host has", name)
		}
	}
}

// described returns the labels of a registry's metrics by name.
func described(t *testing.T, r *prometheus.Registry) map[string]string {
	t.Helper()
	descs := make(chan *prometheus.Desc)
	go func() {
		r.Describe(descs)
		close(descs)
	}()
	out := map[string]string{}
	for d := range descs {
		if !strings.Contains(d.String(), "fireflygate_") {
			continue
		}
		m := descPattern.FindStringSubmatch(d.String())
		if m == nil {
			t.Fatalf("unexpected: %s", d)
		}
		if m[2] == "" {
			t.Errorf("%s has no help", m[1])
		}
		out[m[1]] = m[3]
	}
	return out
}
