package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Record is one log line.
type Record struct {
	Time    time.Time
	Event   int
	Message string
	// Source is what stood before the line's JSON, such as a host's name.
	Source string
	// Fields are the other attributes.
	Fields map[string]any
}

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Read reads log lines. Lines that aren't records are counted and left out.
func Read(r io.Reader) (records []Record, unread int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		if rec, ok := parse(s.Bytes()); ok {
			records = append(records, rec)
		} else if len(bytes.TrimSpace(s.Bytes())) > 0 {
			unread++
		}
	}
	return records, unread, errors.Wrap(s.Err(), "read log lines")
}

// parse reads one line: JSON, with anything before it as its source.
func parse(line []byte) (Record, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return Record{}, false
	}
	var head struct {
		Time    time.Time `json:"time"`
		Event   int       `json:"event"`
		Message string    `json:"msg"`
	}
	fields := map[string]any{}
	if json.Unmarshal(line[start:], &head) != nil || json.Unmarshal(line[start:], &fields) != nil || head.Event == 0 {
		return Record{}, false
	}
	for _, known := range []string{"time", "event", "msg", "level"} {
		delete(fields, known)
	}
	return Record{head.Time, head.Event, head.Message, strings.TrimSpace(string(line[:start])), fields}, true
}

// about reports whether the record is about the job: one of the fields that
// name jobs, tasks and steps begins with its ID.
func (r *Record) about(id string) bool {
	for _, field := range []string{"id", "job", "task", "step"} {
		if name, ok := r.Fields[field].(string); ok && (name == id || strings.HasPrefix(name, id+".")) {
			return true
		}
	}
	return false
}
