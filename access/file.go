package access

import (
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// lookInterval is how often a file is looked at for a change.
const lookInterval = time.Second

// file keeps what was parsed from a file and parses it again when the file
// changes. A change that can't be parsed leaves the old value in force.
type file[T any] struct {
	path  string
	parse func(data []byte) (T, error)
	now   func() time.Time

	mu      sync.Mutex // guards the fields below
	value   T
	looked  time.Time
	changed time.Time
	loaded  bool
}

// get returns the newest value that could be parsed; an error only if there
// never was one.
func (f *file[T]) get() (T, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.loaded && now.Sub(f.looked) < lookInterval {
		return f.value, nil
	}
	f.looked = now
	err := f.load()
	if f.loaded {
		return f.value, nil
	}
	return f.value, err
}

func (f *file[T]) load() error {
	info, err := os.Stat(f.path)
	if err != nil {
		return errors.Wrap(err, "access file")
	}
	if f.loaded && info.ModTime().Equal(f.changed) {
		return nil
	}
	data, err := os.ReadFile(f.path)
	if err != nil {
		return errors.Wrap(err, "access file")
	}
	value, err := f.parse(data)
	if err != nil {
		return errors.Wrapf(err, "access file %s", f.path)
	}
	f.value, f.changed, f.loaded = value, info.ModTime(), true
	return nil
}
