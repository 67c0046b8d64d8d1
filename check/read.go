package check

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrUnfinished is returned by Read if the last line lacks its end: its writer
// hasn't finished it.
var ErrUnfinished = errors.New("last record unfinished")

// Read decodes the records that a Recorder wrote. On an error it also returns
// the records decoded before it. Where another process still writes to the file
// that r reads, a part of a line may be visible, and Read returns ErrUnfinished.
func Read(r io.Reader) ([]Record, error) {
	var records []Record
	for lines := bufio.NewReader(r); ; {
		line, err := lines.ReadBytes('\n')
		switch {
		case errors.Is(err, io.EOF) && len(line) == 0:
			return records, nil
		case errors.Is(err, io.EOF):
			return records, ErrUnfinished
		case err != nil:
			return records, errors.Wrapf(err, "read record %d", len(records)+1)
		}
		var record Record
		if err := json.Unmarshal(line, &record); err != nil {
			return records, errors.Wrapf(err, "decode record %d", len(records)+1)
		}
		records = append(records, record)
	}
}
