// Command review-cases runs one case of the review: it starts entry hosts of the project as
// processes with stand-ins for the platform, the minions and the clients, and judges a rule by
// what these see. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"flag"
	"fmt"
	"iter"
	"maps"
	"os"
	"sync"
	"time"
)

// record is the record of a case.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken []string
}

// logf writes a line with the time since the start.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fail records that a rule was broken.
func (r *record) fail(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.logf("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// mapKeys returns the keys of a map.
func mapKeys(m map[string]any) iter.Seq[string] { return maps.Keys(m) }

var cases = map[string]func(s *site, trouble bool) error{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case")
	path := flag.String("record", "", "the file for the record")
	trouble := flag.Bool("trouble", true, "whether the disruption comes")
	flag.Parse()
	f := cases[*name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	s, err := newSite(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	s.workOf = func(*minion, string, uint64) work { return work{time.Second, "done"} }
	rec.logf("case %s, disruption: %v", *name, *trouble)
	if err := f(s, *trouble); err != nil {
		rec.logf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.mu.Lock()
	broken := rec.broken
	rec.mu.Unlock()
	if len(broken) > 0 {
		rec.logf("verdict: broken")
		fmt.Println("broken:", broken[0])
		return 1
	}
	rec.logf("verdict: held")
	fmt.Println("held")
	return 0
}
