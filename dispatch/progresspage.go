package dispatch

import (
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/fireflygate/fireflygate/workload"
)

// headerMark begins the header of progress in pages. No msgpack value begins with it, so that
// earlier releases, which don't know pages, skip the job and run nothing of it.
const headerMark = 0xc1

// pageVersion begins each page.
const pageVersion = 1

// maxPagedFailures is the number of failed runs of a task whose numbers a page holds, the last
// ones. Of the others it holds the number only.
const maxPagedFailures = 16

// Flags of a crash on a page.
const (
	pageCrashEarly = 1 << iota
	pageCrashRestarted
)

// pageRunUnproven is the flag of a run on a page that is unproven.
const pageRunUnproven = 1

var errPage = errors.New("page of progress is malformed")

// pagedHeader is the header of progress in pages.
type pagedHeader struct {
	State workload.State `msgpack:"s"`
	// Tasks is the number of tasks on a page.
	Tasks int `msgpack:"n"`
}

// encodeHeader returns the value of a header.
func encodeHeader(h pagedHeader) ([]byte, error) {
	value, err := msgpack.Marshal(h)
	return append([]byte{headerMark}, value...), err
}

// encodePage returns the progress of tasks and whether there is any: one bit for each task that
// is done, and for each other with progress the distance of its index from the one before, its
// runs, its crashes and its failed runs. Numbers are varints, hashes big-endian.
func encodePage(tasks []*task) (value []byte, found bool) {
	bits := make([]byte, (len(tasks)+7)/8)
	var rest []byte
	previous := 0
	for i, t := range tasks {
		if t.done {
			bits[i/8] |= 1 << (i % 8)
			found = true
			continue
		}
		if len(t.runs) == 0 && len(t.crashes) == 0 && len(t.failed) == 0 {
			continue
		}
		found = true
		rest = t.appendProgress(appendNumber(rest, i-previous))
		previous = i
	}
	return append(append([]byte{pageVersion}, bits...), rest...), found
}

// appendProgress encodes the task's runs, crashes and failures.
func (t *task) appendProgress(b []byte) []byte {
	b = appendNumber(b, len(t.runs))
	for _, r := range t.runs {
		b = binary.BigEndian.AppendUint32(b, r.worker.hash)
		b = append(b, flagIf(r.unproven(), pageRunUnproven))
	}
	b = appendNumber(b, len(t.crashes))
	for _, c := range t.crashes {
		b = binary.BigEndian.AppendUint32(b, c.worker)
		b = append(b, flagIf(c.early, pageCrashEarly)|flagIf(c.restarted, pageCrashRestarted))
	}
	if len(t.crashes) > 0 {
		b = binary.AppendUvarint(b, uint64(t.crashedWorkers().ExhaustedMS)) //nolint:gosec // never negative
	}
	b = appendNumber(b, len(t.failed))
	for _, n := range t.failed[max(0, len(t.failed)-maxPagedFailures):] {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

// flagIf returns the flag if it is set.
func flagIf(set bool, flag byte) byte {
	if set {
		return flag
	}
	return 0
}

// isHeader reports whether a progress row is the header of progress in pages.
func isHeader(value []byte) bool { return len(value) > 0 && value[0] == headerMark }

// Paged reports whether the progress was decoded from pages.
func (p *ProgressRow) Paged() bool { return p != nil && p.pages != nil }

// ParsePageKey returns the job and the number of a page from the key of its row.
func ParsePageKey(key string) (job string, page int, ok bool) {
	job, number, found := strings.Cut(strings.TrimPrefix(key, PagesPrefix), "/")
	page, err := strconv.Atoi(number)
	return job, page, found && err == nil && page >= 0
}

// DecodeProgress decodes a job's progress, which may be in pages.
func DecodeProgress(job *workload.Job, value []byte, pages map[int][]byte) (*ProgressRow, error) {
	if !isHeader(value) {
		return DecodeProgressRow(value)
	}
	var h pagedHeader
	if err := msgpack.Unmarshal(value[1:], &h); err != nil {
		return nil, errors.Wrap(err, "decode header of progress")
	}
	if h.Tasks < 1 {
		return nil, errPage
	}
	row := &ProgressRow{State: h.State, pages: &storedPages{tasks: h.Tasks, sums: map[int]uint64{}}}
	d := pageDecoder{row: row, job: job}
	for range job.Occurrences() {
		for i := range job.Steps {
			row.Done = append(row.Done, make([]byte, (job.Steps[i].Tasks+7)/8))
		}
	}
	total := job.TotalTasks()
	for page := 0; page*h.Tasks < total; page++ {
		text, stored := pages[page]
		if !stored {
			continue // nothing is known of its tasks
		}
		row.pages.sums[page] = xxhash.Sum64(text)
		if err := d.decode(text, page*h.Tasks, min(h.Tasks, total-page*h.Tasks)); err != nil {
			return nil, errors.Wrapf(err, "page %d", page)
		}
	}
	return row, nil
}

// storedPages describes the pages from which progress was decoded.
type storedPages struct {
	// tasks is the number of tasks on a page, sums holds the checksums of the pages.
	tasks int
	sums  map[int]uint64
}

// pageDecoder adds the progress on pages to a row.
type pageDecoder struct {
	row *ProgressRow
	job *workload.Job
}

// decode adds the progress on a page of n tasks.
func (d *pageDecoder) decode(text []byte, first, n int) error {
	size := 1 + (n+7)/8
	if len(text) < size || text[0] != pageVersion {
		return errPage
	}
	for i := range n {
		if text[1+i/8]&(1<<(i%8)) != 0 {
			id := d.job.TaskAt(first + i)
			d.row.Done[id.Occurrence*len(d.job.Steps)+id.Step][id.Index/8] |= 1 << (id.Index % 8)
		}
	}
	u := unpacker{rest: text[size:]}
	for i := 0; len(u.rest) > 0; {
		if i += u.number(); u.malformed || i >= n {
			return errPage
		}
		d.decodeTask(&u, d.job.TaskAt(first+i))
	}
	if u.malformed {
		return errPage
	}
	return nil
}

// decodeTask adds the progress of a task.
func (d *pageDecoder) decodeTask(u *unpacker, id workload.TaskID) {
	for range u.count(5) {
		l := RunLocation{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, WorkerHash: u.hash()}
		d.row.Running = append(d.row.Running, l)
		if u.byte()&pageRunUnproven != 0 {
			d.row.Unproven = append(d.row.Unproven, l)
		}
	}
	if n := u.count(5); n > 0 {
		c := CrashedWorkers{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index}
		for range n {
			c.add(u.hash(), u.byte())
		}
		c.ExhaustedMS = int64(min(u.number64(), uint64(workload.MaxDuration/time.Millisecond))) //nolint:gosec // bounded
		d.row.Crashed = append(d.row.Crashed, c)
	}
	failed := u.number()
	if failed > workload.MaxTasks {
		u.malformed = true // more attempts than any policy makes sense of
	}
	if failed == 0 || u.malformed {
		return
	}
	f := FailedRuns{Occurrence: id.Occurrence, Step: id.Step, Index: id.Index}
	f.Runs = make([]uint64, max(0, failed-maxPagedFailures), failed)
	for range min(failed, maxPagedFailures) {
		f.Runs = append(f.Runs, u.number64())
	}
	d.row.Failed = append(d.row.Failed, f)
}

// add adds a crash with its flags on a page.
func (c *CrashedWorkers) add(worker uint32, flags byte) {
	if flags&pageCrashEarly != 0 {
		c.Early = append(c.Early, worker)
	} else {
		c.Late = append(c.Late, worker)
	}
	if flags&pageCrashRestarted != 0 {
		c.Restarted = append(c.Restarted, worker)
	}
}
