package trace

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Bottleneck is what limited the throughput of an owner within a second.
type Bottleneck string

// The bottlenecks, in the order in which they are checked: each one hides the
// symptoms of those after it.
const (
	// BottleneckStore means that the last commit is too old.
	BottleneckStore Bottleneck = "store"
	// BottleneckProcessor means that the owner's loop ran late.
	BottleneckProcessor Bottleneck = "processor"
	// BottleneckOrders means that orders are slow although the loop is on time,
	// because of the network link, a worker or a relay.
	BottleneckOrders Bottleneck = "orders"
	// BottleneckCapacity means that tasks wait for suitable capacity.
	BottleneckCapacity Bottleneck = "room"
	// BottleneckNone means that nothing waits.
	BottleneckNone Bottleneck = "none"
)

// Thresholds from which a value counts as a bottleneck.
const (
	commitAgeThreshold = time.Second
	loopDelayThreshold = 100 * time.Millisecond
	roundTripThreshold = 60 * time.Millisecond
)

// Span is a period in which an owner had the same bottleneck.
type Span struct {
	From, To   time.Time
	Host       string
	Bottleneck Bottleneck
}

// Bottlenecks returns the bottlenecks of all owners in the order of their start.
// Successive seconds of a host with the same bottleneck are one span.
func Bottlenecks(records []Record) []Span {
	var spans []Span
	last := map[string]int{} // index of a host's last span
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return a.Time.Compare(b.Time) })
	for i := range sorted {
		r := &sorted[i]
		if r.Event != domainState {
			continue
		}
		bottleneck, host := bottleneckOf(r), hostOf(r)
		if k, ok := last[host]; ok && spans[k].Bottleneck == bottleneck {
			spans[k].To = r.Time
			continue
		}
		last[host] = len(spans)
		spans = append(spans, Span{From: r.Time.Add(-time.Second), To: r.Time, Host: host, Bottleneck: bottleneck})
	}
	return spans
}

// hostOf returns the host that wrote a line, which is the last word of the source;
// the source may begin with a time.
func hostOf(r *Record) string {
	words := strings.Fields(r.Source)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// bottleneckOf returns the bottleneck of an owner in the second before a domain
// state line.
func bottleneckOf(r *Record) Bottleneck {
	loop, traffic := group(r.Fields["loop"]), group(r.Fields["traffic"])
	waits := group(group(r.Fields["state"])["waits"])
	age, _ := r.Fields["commit_age_ms"].(float64)
	switch {
	case millis(age) >= commitAgeThreshold:
		return BottleneckStore
	case loop.millis("late_ms") >= loopDelayThreshold:
		return BottleneckProcessor
	case traffic.millis("smoothed_ms") >= roundTripThreshold, 2*loop.number("held_back") > loop.number("cycles"):
		return BottleneckOrders
	case waits.sum() > waits.number("fits"):
		return BottleneckCapacity
	default:
		return BottleneckNone
	}
}

// fields is an attribute group of a log line.
type fields map[string]any

// group returns v as an attribute group, nil if it isn't one.
func group(v any) fields {
	f, _ := v.(map[string]any)
	return f
}

// number returns a numeric attribute, 0 if there is none.
func (f fields) number(name string) float64 {
	n, _ := f[name].(float64)
	return n
}

// millis returns an attribute in milliseconds as a duration.
func (f fields) millis(name string) time.Duration { return millis(f.number(name)) }

// sum returns the sum of the group's numbers, except for restart counts.
func (f fields) sum() float64 {
	sum := 0.0
	for name := range f {
		if len(name) < len(restartPrefix) || name[:len(restartPrefix)] != restartPrefix {
			sum += f.number(name)
		}
	}
	return sum
}

// restartPrefix is the prefix of counts of restarted tasks, which are included in
// the counts of all tasks.
const restartPrefix = "restart_"

// millis converts milliseconds to a duration.
func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// WriteBottlenecks prints the total time of each bottleneck, and the spans other than
// BottleneckNone.
func WriteBottlenecks(w io.Writer, spans []Span) error {
	total := map[Bottleneck]time.Duration{}
	for _, s := range spans {
		total[s.Bottleneck] += s.To.Sub(s.From)
	}
	for _, b := range slices.SortedFunc(maps.Keys(total), func(a, b Bottleneck) int {
		return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b))
	}) {
		if _, err := fmt.Fprintf(w, "bound by %s for %.0f s\n", b, total[b].Seconds()); err != nil {
			return errors.Wrap(err, "write bottlenecks")
		}
	}
	for _, s := range spans {
		if s.Bottleneck == BottleneckNone {
			continue
		}
		_, err := fmt.Fprintf(w, "    %s to %s %s: %s\n", s.From.Format(clockLayout), s.To.Format(clockLayout), s.Host, s.Bottleneck)
		if err != nil {
			return errors.Wrap(err, "write bottlenecks")
		}
	}
	return nil
}

// clockLayout is the layout of the time of day in the output.
const clockLayout = "15:04:05.0"
