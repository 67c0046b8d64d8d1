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

// Bound is what kept an owner from doing more in a second.
type Bottleneck string

// The bounds, in the order in which they are looked for: what is behind one of
// them can't tell of those after it.
const (
	// BottleneckStore: the last commit is old.
	BottleneckStore Bottleneck = "store"
	// BottleneckProcessor: the owner's loop got its turn late.
	BottleneckProcessor Bottleneck = "processor"
	// BottleneckOrders: orders are slow on their way though the loop is in time: by the
	// link, or by a worker or relay behind it.
	BottleneckOrders Bottleneck = "orders"
	// BottleneckCapacity: tasks wait for room that may take them.
	BottleneckCapacity Bottleneck = "room"
	// BottleneckNone: nothing waits.
	BottleneckNone Bottleneck = "none"
)

// From which figures on something counts as a bound.
const (
	oldCommit = time.Second
	lateLoop  = 100 * time.Millisecond
	slowWay   = 60 * time.Millisecond
)

// Span is a time in which one thing bound an owner.
type Span struct {
	From, To   time.Time
	Host       string
	Bottleneck Bottleneck
}

// Bounds returns what bound the owners, second by second, with equal seconds that
// follow one another as one span.
func Bottlenecks(records []Record) []Span {
	var spans []Span
	last := map[string]int{} // the newest span of a host
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return a.Time.Compare(b.Time) })
	for i := range sorted {
		r := &sorted[i]
		if r.Event != domainState {
			continue
		}
		bound, host := boundOf(r), hostOf(r)
		if k, ok := last[host]; ok && spans[k].Bottleneck == bound {
			spans[k].To = r.Time
			continue
		}
		last[host] = len(spans)
		spans = append(spans, Span{From: r.Time.Add(-time.Second), To: r.Time, Host: host, Bottleneck: bound})
	}
	return spans
}

// hostOf returns the host that wrote a line: the last word of what stood before
// it, which may begin with a time.
func hostOf(r *Record) string {
	words := strings.Fields(r.Source)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// boundOf returns what bound an owner in the second before a line on its state.
func boundOf(r *Record) Bottleneck {
	loop, traffic := group(r.Fields["loop"]), group(r.Fields["traffic"])
	waits := group(group(r.Fields["state"])["waits"])
	age, _ := r.Fields["commit_age_ms"].(float64)
	switch {
	case millis(age) >= oldCommit:
		return BottleneckStore
	case loop.millis("late_ms") >= lateLoop:
		return BottleneckProcessor
	case traffic.millis("smoothed_ms") >= slowWay, 2*loop.number("held_back") > loop.number("cycles"):
		return BottleneckOrders
	case waits.sum() > waits.number("fits"):
		return BottleneckCapacity
	default:
		return BottleneckNone
	}
}

// fields is a group of attributes.
type fields map[string]any

// group returns a group of attributes, empty if it is none.
func group(v any) fields {
	f, _ := v.(map[string]any)
	return f
}

// number returns a number of the group, 0 if there is none.
func (f fields) number(name string) float64 {
	n, _ := f[name].(float64)
	return n
}

// millis returns a time of the group.
func (f fields) millis(name string) time.Duration { return millis(f.number(name)) }

// sum adds the group's numbers up, but for those that count a part of another.
func (f fields) sum() float64 {
	sum := 0.0
	for name := range f {
		if len(name) < len(restartPrefix) || name[:len(restartPrefix)] != restartPrefix {
			sum += f.number(name)
		}
	}
	return sum
}

// restartPrefix begins the counts of tasks that ran before, which are counted
// among all as well.
const restartPrefix = "restart_"

// millis returns a number of milliseconds as a time.
func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// WriteBottlenecks prints for how long each bound held, and the spans of those that
// aren't none.
func WriteBottlenecks(w io.Writer, spans []Span) error {
	total := map[Bottleneck]time.Duration{}
	for _, s := range spans {
		total[s.Bottleneck] += s.To.Sub(s.From)
	}
	for _, b := range slices.SortedFunc(maps.Keys(total), func(a, b Bottleneck) int {
		return cmp.Or(cmp.Compare(total[b], total[a]), cmp.Compare(a, b))
	}) {
		if _, err := fmt.Fprintf(w, "bound by %s for %.0f s\n", b, total[b].Seconds()); err != nil {
			return errors.Wrap(err, "write bounds")
		}
	}
	for _, s := range spans {
		if s.Bottleneck == BottleneckNone {
			continue
		}
		_, err := fmt.Fprintf(w, "    %s to %s %s: %s\n", s.From.Format(clockLayout), s.To.Format(clockLayout), s.Host, s.Bottleneck)
		if err != nil {
			return errors.Wrap(err, "write bounds")
		}
	}
	return nil
}

// clockLayout shows the time of day of a line.
const clockLayout = "15:04:05.0"
