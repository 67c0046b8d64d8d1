package election

import "time"

// UnleasedWorker is a worker that gets no leases from an owner while its row names it. Those
// that any owner may have given are over LeasesMS, in milliseconds, after the commit of the row.
type UnleasedWorker struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	// Worker is the hash of the worker's ID.
	Worker   uint32
	LeasesMS int64
}

// NewUnleasedWorker returns a worker whose leases are over after left, on the owner's clock,
// from the commit of the row on.
func NewUnleasedWorker(worker uint32, left time.Duration) UnleasedWorker {
	return UnleasedWorker{Worker: worker, LeasesMS: withDrift(max(left, 0) + time.Millisecond).Milliseconds()}
}

// unleasedAfter returns the workers as a row names them that is committed at least age after
// the one that names all.
func unleasedAfter(all []UnleasedWorker, age time.Duration) []UnleasedWorker {
	var later []UnleasedWorker
	for _, u := range all {
		u.LeasesMS = max(u.LeasesMS-age.Milliseconds(), 0)
		later = append(later, u)
	}
	return later
}
