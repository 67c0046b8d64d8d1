package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflygate/fireflygate/election"
	"github.com/fireflygate/fireflygate/infra"
)

// rowRead is an answered or failed read of the owner's row.
type rowRead struct {
	record  election.Record
	version uint64
	err     error
	// begun is when the read began, on Go's clock, and begunAt on that of boottime.
	begun   time.Time
	begunAt time.Duration
	took    time.Duration
}

// rowReader reads the owner's row again and again. A read goes on when its caller stops
// to wait for it, so that also a store is read that takes longer to answer.
type rowReader struct {
	table   infra.Table
	results chan rowRead
	pending int
	// lastBegun is the start of the last read that was answered. Earlier ones are ignored.
	lastBegun time.Time
	// answeredAt is when that read was answered, and lastTook how long it took.
	answeredAt time.Time
	lastTook   time.Duration
}

const (
	// lateReadTimeout bounds a read that its caller no longer waits for.
	lateReadTimeout = 6 * time.Second
	// maxReads bounds the reads in flight, of which another begins each rowTimeout.
	maxReads = int(lateReadTimeout/rowTimeout) + 1
)

// errRowUnanswered is returned if no read was answered in time.
var errRowUnanswered = errors.New("the owner's row isn't answered in time")

func newRowReader(table infra.Table) *rowReader {
	return &rowReader{table: table, results: make(chan rowRead, maxReads)}
}

// read begins a read, and returns the first answer to it or to an earlier one. It waits
// for rowTimeout at most.
func (r *rowReader) read(ctx context.Context) rowRead {
	if r.pending < maxReads {
		r.pending++
		go r.begin(ctx)
	}
	timeout := time.NewTimer(rowTimeout)
	defer timeout.Stop()
	for {
		select {
		case a := <-r.results:
			r.pending--
			if a.begun.Before(r.lastBegun) {
				continue
			}
			if a.err == nil {
				r.lastBegun, r.answeredAt, r.lastTook = a.begun, time.Now(), a.took
			}
			return a
		case <-timeout.C:
			return rowRead{err: errRowUnanswered}
		case <-ctx.Done():
			return rowRead{err: ctx.Err()}
		}
	}
}

// unavailable reports whether a failed read shows that the store doesn't answer this host,
// rather than slowly. Another read is then answered before long.
func (r *rowReader) unavailable(failed rowRead) bool {
	return !errors.Is(failed.err, errRowUnanswered) || time.Since(r.answeredAt) >= rowTimeout+slowAnswers*r.lastTook
}

// slowAnswers is the number of answers of a slow store within which one comes.
const slowAnswers = 2

// begin reads the row and delivers the result, which never blocks.
func (r *rowReader) begin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lateReadTimeout)
	defer cancel()
	a := rowRead{begun: time.Now(), begunAt: boottime()}
	a.record, a.version, a.err = election.Read(ctx, r.table)
	a.took = time.Since(a.begun)
	r.results <- a
}
