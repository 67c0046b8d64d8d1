package access

import (
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the minimum time between two checks of a file for changes.
const checkInterval = time.Second

// watchedFile caches the value parsed from a file and parses the file again
// when its modification time changes. If that fails, the old value stays in
// use.
type watchedFile[T any] struct {
	path  string
	parse func(data []byte) (T, error)
	now   func() time.Time

	mu        sync.Mutex // guards the fields below
	value     T
	checkedAt time.Time
	modTime   time.Time
	loaded    bool
}

// get checks the file for a change if the last check is at least checkInterval
// ago, and returns the latest value that was parsed. It returns an error only
// if the file has never been parsed.
func (f *watchedFile[T]) get() (T, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.loaded && now.Sub(f.checkedAt) < checkInterval {
		return f.value, nil
	}
	f.checkedAt = now
	err := f.load()
	if f.loaded {
		return f.value, nil
	}
	return f.value, err
}

func (f *watchedFile[T]) load() error {
	info, err := os.Stat(f.path)
	if err != nil {
		return errors.Wrap(err, "stat access file")
	}
	if f.loaded && info.ModTime().Equal(f.modTime) {
		return nil
	}
	data, err := os.ReadFile(f.path)
	if err != nil {
		return errors.Wrap(err, "read access file")
	}
	value, err := f.parse(data)
	if err != nil {
		return errors.Wrapf(err, "parse access file %s", f.path)
	}
	f.value, f.modTime, f.loaded = value, info.ModTime(), true
	return nil
}
