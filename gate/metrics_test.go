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
	// rowPattern matches a row of the page: | `name{labels}` | type | meaning |.
	rowPattern = regexp.MustCompile("(?m)^\\| `(fireflygate_[a-z_]+)(?:\\{([a-z,]*)\\})?` \\| (?:counter|gauge|histogram) \\| .+ \\|$")
	// descPattern matches the text of a prometheus.Desc.
	descPattern = regexp.MustCompile(`fqName: "([a-z_]+)", help: "(.*)", constLabels: \{\}, variableLabels: \{([a-z,]*)\}`)
	// usePattern matches a metric's name in the alerting rules.
	usePattern = regexp.MustCompile(`fireflygate_[a-z_]+`)
)

// TestMetricsMatchDocs checks that docs/METRICS.md lists exactly the metrics of
// a host with their labels, and that its alerting rules use no others.
func TestMetricsMatchDocs(t *testing.T) {
	text, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := map[string]string{}
	for _, row := range rowPattern.FindAllStringSubmatch(string(text), -1) {
		page[row[1]] = row[2]
	}
	g, _, _ := startGate(t, func(*settings.Settings) {})
	registered := described(t, g.registry)
	if !maps.Equal(page, registered) {
		t.Errorf("docs/METRICS.md lists %v", slices.Sorted(maps.Keys(page)))
		t.Errorf("the host registers %v", slices.Sorted(maps.Keys(registered)))
	}
	_, rules, _ := strings.Cut(string(text), "```yaml")
	names := usePattern.FindAllString(rules, -1)
	if len(names) == 0 {
		t.Error("no alerting rules in docs/METRICS.md")
	}
	for _, name := range names {
		base := name
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			base = strings.TrimSuffix(base, suffix)
		}
		if _, ok := registered[base]; !ok {
			t.Errorf("an alerting rule uses %s, which the host doesn't register", name)
		}
	}
}

// described returns the labels of a registry's metrics by metric name.
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
			t.Fatalf("unexpected metric description: %s", d)
		}
		if m[2] == "" {
			t.Errorf("%s has no help", m[1])
		}
		out[m[1]] = m[3]
	}
	return out
}
