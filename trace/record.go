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
	// Source is the text before the line's JSON, such as a host's name.
	Source string
	// Fields are the other attributes.
	Fields map[string]any
}

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// Read reads log lines. It skips and counts lines that aren't records of numbered
// events.
func Read(r io.Reader) (records []Record, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		if rec, ok := parse(s.Bytes()); ok {
			records = append(records, rec)
		} else if len(bytes.TrimSpace(s.Bytes())) > 0 {
			skipped++
		}
	}
	return records, skipped, errors.Wrap(s.Err(), "read log lines")
}

// parse reads a line of JSON. Text before the JSON becomes the source.
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

// about reports whether a field that identifies a job, task or step refers to the
// job or one of its parts.
func (r *Record) about(id string) bool {
	for _, field := range []string{"id", "job", "task", "step"} {
		if name, ok := r.Fields[field].(string); ok && (name == id || strings.HasPrefix(name, id+".")) {
			return true
		}
	}
	return false
}
