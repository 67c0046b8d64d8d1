package burnpage

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/gen/operations"
)

// TestPageIsSelfContained checks that the page shows the report's values, is
// well-formed, escapes names and refers to no other resource.
func TestPageIsSelfContained(t *testing.T) {
	at := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	r := &operations.BurnReport{
		Objective: "gate<script>", Service: "dispatch", Target: 0.99, Alert: "page", Unseen: []string{"gate-7"},
		Windows: []*operations.BurnWindow{
			{WindowMs: 300_000, Good: 80, Total: 100, Burn: 20, CoveredMs: 300_000},
			{WindowMs: 3_600_000, Good: 961, Total: 1203, Burn: 20.12, CoveredMs: 3_600_000},
			{WindowMs: 259_200_000},
		},
		Rules: []*operations.BurnRule{{Alert: "page", LongMs: 3_600_000, ShortMs: 300_000, Burn: 14.4}},
	}
	for i := range 72 {
		r.History = append(r.History, &operations.BurnPoint{
			StartUnixMs: at.Add(time.Duration(i-72) * 5 * time.Minute).UnixMilli(), Good: int64(i), Total: int64(2 * i),
		})
	}
	var out bytes.Buffer
	if err := Write(&out, []*operations.BurnReport{r, {Objective: "new", Service: "dispatch", Target: 0.9, Alert: "none"}}, at); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{"2026-12-02T10:00:00Z", "gate-7", "<td>1203</td>", "<td>20.12</td>", "<td>3d</td>", "14.4", "page at 14.4", "gate&lt;script&gt;"} {
		if !strings.Contains(text, want) {
			t.Errorf("page does not contain %q", want)
		}
	}
	for _, bad := range []string{"http:", "https:", "//", "<script", "src=", "href=", "url(", "@import"} {
		if strings.Contains(text, bad) {
			t.Errorf("page contains %q", bad)
		}
	}
	if n := strings.Count(text, "<svg"); n != 2 {
		t.Errorf("%d plots, want 2: the objective without data has none", n)
	}
	checkWellFormed(t, text)
}

func checkWellFormed(t *testing.T, text string) {
	t.Helper()
	d := xml.NewDecoder(strings.NewReader(text))
	d.Strict, d.AutoClose, d.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}
