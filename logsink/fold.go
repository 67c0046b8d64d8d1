package logsink

import (
	"bytes"
	"hash/maphash"
	"slices"
	"strconv"
	"time"
)

const (
	// foldWindow is how long an equal line is folded into the first one.
	foldWindow = time.Second
	// maxFolds bounds the lines remembered within a window.
	maxFolds = 256
)

// fold is a line that was written and how often it came again since.
type fold struct {
	line    []byte
	repeats int
}

// folder tells lines that came already within the window.
type folder struct {
	seed  maphash.Seed
	since time.Time
	seen  map[uint64]*fold
}

func newFolder() *folder {
	return &folder{seed: maphash.MakeSeed(), seen: map[uint64]*fold{}}
}

// repeated reports whether an equal line was written within the window, and
// counts it.
func (f *folder) repeated(line []byte) bool {
	key := maphash.Bytes(f.seed, afterTime(line))
	if known := f.seen[key]; known != nil {
		known.repeats++
		return true
	}
	if len(f.seen) < maxFolds {
		f.seen[key] = &fold{line: bytes.Clone(line)}
	}
	return false
}

// turn ends the window if it is over. It returns the lines that came again,
// each with the count of its repeats.
func (f *folder) turn(now time.Time) [][]byte {
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

// afterTime returns the line without its first field, which is the time.
func afterTime(line []byte) []byte {
	if i := bytes.IndexByte(line, ','); i >= 0 {
		return line[i:]
	}
	return line
}

// withRepeats returns the line with the count of its repeats as last field.
func withRepeats(f *fold) []byte {
	end := bytes.LastIndexByte(f.line, '}')
	if end < 0 {
		return f.line
	}
	line := append([]byte{}, f.line[:end]...)
	line = append(line, `,"repeats":`...)
	line = strconv.AppendInt(line, int64(f.repeats), 10)
	return append(line, "}\n"...)
}
