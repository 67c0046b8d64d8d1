package dispatch

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/infra"
)

// progressPages tells of the rows that hold a job's progress where one row can't. Each page
// holds that of a range of its tasks and is true without the others, so that any number of
// transactions may write them. The job's progress row is then a header, which is written once
// each page was; until then the last progress in one row is in force.
type progressPages struct {
	// active is set if progress is written in pages.
	active bool
	// tasks is the number of tasks on a page.
	tasks int
	// headerStored is set once the header is durable.
	headerStored bool
	// stored holds, for each page in the store, the checksum of its value, 0 if unknown.
	stored map[int]uint64
	// next is the page with which the next batch begins: the one for which the last had no
	// room. unwritten is the number of pages from there on that no batch has held yet.
	next, unwritten int
}

// pageTaskBytes bounds what one task takes on a page: two runs and a few more, the crashes of
// maxCrashes workers and the numbers of maxPagedFailures failed runs.
const pageTaskBytes = 192

// begin makes the progress of a job with a number of tasks be written in pages from now on.
func (p *progressPages) begin(l infra.TableLimits, tasks int) {
	p.active = true
	if p.tasks == 0 {
		p.tasks = max(l.RowBytes/pageTaskBytes, 1)
	}
	if p.stored == nil {
		p.stored = map[int]uint64{}
	}
	p.next, p.unwritten = 0, (tasks+p.tasks-1)/p.tasks
}

// rejected handles that what a batch wrote of the job wasn't applied.
func (p *progressPages) rejected(l infra.TableLimits, tasks int) {
	if p.active && !p.headerStored {
		p.begin(l, tasks)
	}
}

// eachPage calls f with the tasks of each page, from the given page on and then from the first
// one, until it returns false. f must not keep the slice.
func (j *job) eachPage(from int, f func(page int, tasks []*task) bool) {
	tasks := make([]*task, 0, j.pages.tasks)
	more := true
	visit := func(wanted func(page int) bool) {
		position := 0
		flush := func(page int) {
			if len(tasks) > 0 && more {
				more = f(page, tasks)
			}
			tasks = tasks[:0]
		}
		j.eachTask(func(t *task) {
			page := position / j.pages.tasks
			if position++; !more || !wanted(page) {
				return
			}
			if tasks = append(tasks, t); len(tasks) == j.pages.tasks {
				flush(page)
			}
		})
		flush((position - 1) / j.pages.tasks)
	}
	visit(func(page int) bool { return page >= from })
	if more && from > 0 {
		visit(func(page int) bool { return page < from })
	}
}

// collectPages writes the pages of a job's progress that have changed, as far as there is room
// in the batch, beginning with the one for which the last batch had none. It writes the header
// once each page was written. first are the writes that precede them. It returns false if some
// are left.
func (s *State) collectPages(b *Batch, f *batchJob, first []infra.Write) (complete bool, err error) {
	j, left := f.job, b.left
	var writes []infra.Write
	add := func(w infra.Write) bool {
		if !left.take(&w) {
			return false
		}
		writes = append(writes, w)
		return true
	}
	for _, w := range first {
		if !add(w) {
			return false, nil
		}
	}
	f.pages, f.complete, f.stateWritten = map[int]uint64{}, true, false
	next, unwritten := 0, j.pages.unwritten
	j.eachPage(j.pages.next, func(page int, tasks []*task) bool {
		value, found := encodePage(tasks)
		sum, known := j.pages.stored[page]
		if now := xxhash.Sum64(value); (known || found) && now != sum {
			if f.complete = add(infra.Write{Key: pageKey(j.spec.ID, page), Value: value}); !f.complete {
				next = page
				return false
			}
			f.pages[page] = now
		}
		for _, t := range tasks {
			f.collectTask(t)
		}
		unwritten = max(unwritten-1, 0)
		return true
	})
	if unwritten == 0 && (!j.pages.headerStored || j.durable != j.state) {
		value, err := encodeHeader(pagedHeader{State: j.state, Tasks: j.pages.tasks})
		if err != nil {
			return false, errors.Wrap(err, "encode header of progress")
		}
		f.stateWritten = add(infra.Write{Key: ProgressPrefix + j.spec.ID, Value: value})
		f.complete = f.complete && f.stateWritten
	}
	j.urgent = j.urgent || !f.complete // the rest follows soon
	if len(writes) == 0 && !f.complete {
		return false, nil
	}
	b.add(batchUnit{job: f}, writes...) // there is room for them
	j.pages.next, j.pages.unwritten = next, unwritten
	if f.deletesEnds {
		j.hasEndsRow = false
	}
	j.collected = true
	return f.complete, nil
}

// markStored records that what a batch wrote of the job is durable. Pages count once the header
// is stored.
func (p *progressPages) markStored(f *batchJob) {
	for page, sum := range f.pages {
		p.stored[page] = sum
	}
	if f.pages == nil || f.stateWritten {
		p.headerStored = f.pages != nil
	}
	if f.pages == nil || p.headerStored {
		f.markStored()
	}
}

// deletePages deletes the pages of a job that has ended. It returns false if there is no room for
// all of them in the batch.
func (j *job) deletePages(b *Batch) bool {
	for page := range j.pages.stored {
		if !b.add(batchUnit{}, deletionOf(pageKey(j.spec.ID, page))) {
			return false
		}
		delete(j.pages.stored, page)
	}
	return true
}

// pageKey returns the key of a page.
func pageKey(id string, page int) string { return PagesPrefix + id + "/" + strconv.Itoa(page) }
