package trace

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// jobEnded is the number of the event with a job's time breakdown.
const jobEnded = 931

// Upper limits of the size classes as cumulative fractions of a queue's jobs: the
// largest tenth, the fifth below it, and the rest.
const (
	largestShare = 0.1
	largeShare   = 0.3
)

// sizeNames are the names of the size classes, largest first.
var sizeNames = [...]string{"largest tenth", "fifth below", "others"}

// JobSummary is the totals of the jobs of one queue and size class.
type JobSummary struct {
	Queue, Size string
	// OnTime, Late and Lost count jobs by how they ended.
	OnTime, Late, Lost int
	// Work is the work of all jobs and MissedWork that of the jobs that weren't on
	// time, in core-seconds by the callers' estimates.
	Work, MissedWork float64
	// TimeSpent is the lifetime of the jobs that weren't on time, in seconds, by
	// what they spent it on.
	TimeSpent map[string]float64
	// Starts and StoppedRuns count the runs of the jobs that weren't on time.
	Starts, StoppedRuns int
}

// jobLine is the content of a job ended event.
type jobLine struct {
	id, queue, reached string
	work               float64
	spent              map[string]float64
	starts, stopped    int
}

// SummarizeJobs returns the totals of ended and lost jobs by queue and size class. A
// job that was logged more than once, as after a change of owner, counts once, by
// its first line.
func SummarizeJobs(records []Record) []JobSummary {
	byQueue := map[string][]jobLine{}
	seen := map[string]bool{}
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return a.Time.Compare(b.Time) })
	for i := range sorted {
		j, ok := parseJob(&sorted[i])
		if !ok || seen[j.id] {
			continue
		}
		seen[j.id] = true
		byQueue[j.queue] = append(byQueue[j.queue], j)
	}
	var rows []JobSummary
	for queue, jobs := range byQueue {
		rows = append(rows, summarizeBySize(queue, jobs)...)
	}
	slices.SortFunc(rows, func(a, b JobSummary) int {
		return cmp.Or(strings.Compare(a.Queue, b.Queue), strings.Compare(a.Size, b.Size))
	})
	return rows
}

// summarizeBySize returns the totals of a queue's jobs by size class.
func summarizeBySize(queue string, jobs []jobLine) []JobSummary {
	slices.SortStableFunc(jobs, func(a, b jobLine) int { return cmp.Compare(b.work, a.work) })
	var rows []JobSummary
	from := 0
	for i, share := range []float64{largestShare, largeShare, 1} {
		to := max(int(share*float64(len(jobs))), from)
		if to == from {
			continue
		}
		row := JobSummary{Queue: queue, Size: sizeNames[i], TimeSpent: map[string]float64{}}
		for k := from; k < to; k++ {
			row.add(&jobs[k])
		}
		rows = append(rows, row)
		from = to
	}
	return rows
}

// add adds a job to the totals.
func (r *JobSummary) add(j *jobLine) {
	r.Work += j.work
	switch j.reached {
	case "on time":
		r.OnTime++
		return
	case "late":
		r.Late++
	default:
		r.Lost++
	}
	r.MissedWork += j.work
	r.Starts += j.starts
	r.StoppedRuns += j.stopped
	for what, seconds := range j.spent {
		r.TimeSpent[what] += seconds
	}
}

// parseJob reads a job ended event. It returns false for other events.
func parseJob(r *Record) (jobLine, bool) {
	if r.Event != jobEnded {
		return jobLine{}, false
	}
	j := jobLine{spent: map[string]float64{}}
	j.id, _ = r.Fields["job"].(string)
	j.queue, _ = r.Fields["queue"].(string)
	j.reached, _ = r.Fields["reached"].(string)
	work, _ := r.Fields["core_ms"].(float64)
	j.work = work / float64(time.Second.Milliseconds())
	spent, _ := r.Fields["spent"].(map[string]any)
	for name, value := range spent {
		n, ok := value.(float64)
		if !ok {
			continue
		}
		switch what, timed := strings.CutSuffix(name, "_ms"); {
		case timed:
			j.spent[what] = n / float64(time.Second.Milliseconds())
		case name == "starts":
			j.starts = int(n)
		case name == "stopped":
			j.stopped = int(n)
		}
	}
	return j, j.id != ""
}

// WriteJobSummaries prints how each queue's jobs of a size class ended, and for
// those not on time how their lifetime was spent.
func WriteJobSummaries(w io.Writer, rows []JobSummary) error {
	for i := range rows {
		r := &rows[i]
		_, err := fmt.Fprintf(w, "%s, %s: %d on time, %d late, %d lost; %.0f of %.0f core-seconds missed\n",
			r.Queue, r.Size, r.OnTime, r.Late, r.Lost, r.MissedWork, r.Work)
		if err != nil {
			return errors.Wrap(err, "write job summaries")
		}
		if r.Late+r.Lost == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "    %s; %d of %d runs stopped\n", r.shares(), r.StoppedRuns, r.Starts); err != nil {
			return errors.Wrap(err, "write job summaries")
		}
	}
	return nil
}

// shares formats how the lifetime of the jobs that weren't on time was spent,
// largest share first.
func (r *JobSummary) shares() string {
	total := 0.0
	var names []string
	for name, seconds := range r.TimeSpent {
		total += seconds
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.TimeSpent[b], r.TimeSpent[a]), strings.Compare(a, b))
	})
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %.0f%%", name, 100*r.TimeSpent[name]/total))
	}
	return fmt.Sprintf("%.0f s: %s", total, strings.Join(parts, ", "))
}
