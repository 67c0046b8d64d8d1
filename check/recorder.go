package check

import (
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Recorder collects records. A nil Recorder drops them. It is safe for
// concurrent use.
type Recorder struct {
	mu      sync.Mutex
	records []Record
	writer  io.Writer
	err     error
}

// NewRecorder returns a recorder that also writes each record to w as one
// line of JSON, unless w is nil.
func NewRecorder(w io.Writer) *Recorder {
	return &Recorder{writer: w}
}

// Add numbers r, stamps it with the time unless it has one, and keeps it.
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

// write appends r to the writer; the first error stays.
func (c *Recorder) write(r Record) {
	if c.writer == nil || c.err != nil {
		return
	}
	c.err = json.NewEncoder(c.writer).Encode(r)
}

// Records returns a copy of all records so far.
func (c *Recorder) Records() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.records)
}

// Err returns the first error of the writer.
func (c *Recorder) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Read reads records as a Recorder wrote them.
func Read(r io.Reader) ([]Record, error) {
	var records []Record
	dec := json.NewDecoder(r)
	for {
		var record Record
		err := dec.Decode(&record)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return records, errors.Wrapf(err, "record %d", len(records)+1)
		}
		records = append(records, record)
	}
}
