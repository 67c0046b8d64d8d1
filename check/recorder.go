package check

import (
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"
)

// Recorder collects records. Add on a nil Recorder does nothing. A Recorder is
// safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	records []Record
	writer  io.Writer
	err     error
}

// NewRecorder returns a Recorder that also writes each record to w as one line
// of JSON. If w is nil, records are kept in memory only.
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{writer: w}
}

// Add assigns the next sequence number to r, sets its time if that is zero, and
// stores it.
func (c *Recorder) Add(r Record) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Seq = uint64(len(c.records)) + 1
	if r.At.IsZero() {
		r.At = time.Now()
	}
	c.records = append(c.records, r)
	c.write(r)
}

// write encodes r to the writer. After the first error it writes nothing more.
func (c *Recorder) write(r Record) {
	if c.writer == nil || c.err != nil {
		return
	}
	c.err = json.NewEncoder(c.writer).Encode(r)
}

// Records returns a copy of the records added so far.
func (c *Recorder) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.records)
}

// Err returns the first error from the writer, if any.
func (c *Recorder) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
