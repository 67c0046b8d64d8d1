package logsink

import (
	"bytes"
	"hash/maphash"
	"slices"
	"strconv"
	"time"
)

const (
	// foldWindow is the time within which equal lines are folded.
	foldWindow = time.Second
	// maxTrackedLines bounds the distinct lines tracked within a window.
	maxTrackedLines = 256
)

// repeatedLine is a written line and the number of its repeats since.
type repeatedLine struct {
	line    []byte
	repeats int
}

// repeatFilter detects lines that were already written within the window.
type repeatFilter struct {
	seed  maphash.Seed
	since time.Time
	seen  map[uint64]*repeatedLine
}

func newRepeatFilter() *repeatFilter {
	return &repeatFilter{seed: maphash.MakeSeed(), seen: map[uint64]*repeatedLine{}}
}

// recordLine reports whether an equal line was already recorded within the window,
// and counts the repeat. A line without an equal is recorded, unless
// maxTrackedLines lines are.
func (f *repeatFilter) recordLine(line []byte) bool {
	key := maphash.Bytes(f.seed, withoutTime(line))
	if known := f.seen[key]; known != nil {
		known.repeats++
		return true
	}
	if len(f.seen) < maxTrackedLines {
		f.seen[key] = &repeatedLine{line: bytes.Clone(line)}
	}
	return false
}

// flushRepeats starts a new window if the current one has elapsed. It returns the lines
// that were repeated, each with its repeat count.
func (f *repeatFilter) flushRepeats(now time.Time) [][]byte {
	if now.Sub(f.since) < foldWindow {
		return nil
	}
	f.since = now
	var lines [][]byte
	for _, known := range f.seen {
		if known.repeats > 0 {
			lines = append(lines, withRepeats(known))
		}
	}
	clear(f.seen)
	slices.SortFunc(lines, bytes.Compare)
	return lines
}

// withoutTime returns the line without its first field, which is the time.
func withoutTime(line []byte) []byte {
	if i := bytes.IndexByte(line, ','); i >= 0 {
		return line[i:]
	}
	return line
}

// withRepeats returns the line with its repeat count as last field.
func withRepeats(f *repeatedLine) []byte {
	end := bytes.LastIndexByte(f.line, '}')
	if end < 0 {
		return f.line
	}
	line := append([]byte{}, f.line[:end]...)
	line = append(line, `,"repeats":`...)
	line = strconv.AppendInt(line, int64(f.repeats), 10)
	return append(line, "}\n"...)
}
