package check_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/fireflygate/fireflygate/check"
)

// TestReadOfUnfinishedRecord reads a file at each moment while its second record
// is being written: the first is returned, and the second isn't taken as invalid.
func TestReadOfUnfinishedRecord(t *testing.T) {
	var file bytes.Buffer
	recorder := check.NewRecorder(&file)
	recorder.Add(requestBegan("a", ""))
	first := file.Len()
	recorder.Add(requestEnded())
	for size := first; size <= file.Len(); size++ {
		records, err := check.Read(bytes.NewReader(file.Bytes()[:size]))
		unfinished := size > first && size < file.Len()
		want := 1
		if size == file.Len() {
			want = 2
		}
		if len(records) != want || errors.Is(err, check.ErrUnfinished) != unfinished || (err != nil && !unfinished) {
			t.Errorf("with %d of %d bytes: %d records, error %v", size, file.Len(), len(records), err)
		}
	}
}

// TestReadOfInvalidRecord: a line with its end that is no record is an error of its
// own, wherever it stands.
func TestReadOfInvalidRecord(t *testing.T) {
	for _, text := range []string{"{\n", "{\"seq\":1}\n{\n", "{\n{\"seq\":1}\n", "{\n{"} {
		if _, err := check.Read(strings.NewReader(text)); err == nil || errors.Is(err, check.ErrUnfinished) {
			t.Errorf("%q: error %v", text, err)
		}
	}
}
