package dispatch

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxPlainLocations is the number of run locations up to which a row lists them one by one, in
// 11 bytes each. More are packed, in some 3 bytes each, so that the progress of a job with
// 16,000 runs on 4,300 workers still fits a row of 64 KB.
const maxPlainLocations = 4000

var errPackedLocations = errors.New("packed run locations are malformed")

// packLocations encodes run locations: the number of workers and the hash of each, and for
// each step of an occurrence the two numbers, the number of runs, and for each run the distance
// of its index from the one before and the position of its worker. Numbers are varints, hashes
// big-endian.
func packLocations(locations []RunLocation) []byte {
	sorted := slices.SortedFunc(slices.Values(locations), func(a, b RunLocation) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
	positions := map[uint32]int{}
	var hashes []byte
	for i := range sorted {
		hash := sorted[i].WorkerHash
		if _, ok := positions[hash]; !ok {
			positions[hash] = len(positions)
			hashes = binary.BigEndian.AppendUint32(hashes, hash)
		}
	}
	packed := append(appendNumber(nil, len(positions)), hashes...)
	for len(sorted) > 0 {
		first := sorted[0]
		n := slices.IndexFunc(sorted, func(l RunLocation) bool { return l.Occurrence != first.Occurrence || l.Step != first.Step })
		if n < 0 {
			n = len(sorted)
		}
		packed = appendNumber(appendNumber(appendNumber(packed, first.Occurrence), first.Step), n)
		index := 0
		for _, l := range sorted[:n] {
			packed = appendNumber(appendNumber(packed, l.Index-index), positions[l.WorkerHash])
			index = l.Index
		}
		sorted = sorted[n:]
	}
	return packed
}

func appendNumber(b []byte, n int) []byte {
	return binary.AppendUvarint(b, uint64(n)) //nolint:gosec // never negative
}

// unpackLocations decodes what packLocations has encoded.
func unpackLocations(packed []byte) ([]RunLocation, error) {
	u := unpacker{rest: packed}
	hashes := make([]uint32, u.count(4))
	for i := range hashes {
		hashes[i] = u.hash()
	}
	var locations []RunLocation
	for len(u.rest) > 0 && !u.malformed {
		occurrence, step, n, index := u.number(), u.number(), u.count(2), 0
		for range n {
			index += u.number()
			position := u.number()
			if position >= len(hashes) {
				return nil, errPackedLocations
			}
			locations = append(locations, RunLocation{Occurrence: occurrence, Step: step, Index: index, WorkerHash: hashes[position]})
		}
	}
	if u.malformed {
		return nil, errPackedLocations
	}
	return locations, nil
}

// unpacker reads packed locations. After the first error all that it reads is 0.
type unpacker struct {
	rest      []byte
	malformed bool
}

// number reads a number below 2^31.
func (u *unpacker) number() int {
	n := u.number64()
	if n >= 1<<31 {
		u.malformed, u.rest = true, nil
		return 0
	}
	return int(n) //nolint:gosec // below 2^31
}

// number64 reads a number.
func (u *unpacker) number64() uint64 {
	n, size := binary.Uvarint(u.rest)
	if size <= 0 {
		u.malformed, u.rest = true, nil
		return 0
	}
	u.rest = u.rest[size:]
	return n
}

// byte reads a byte.
func (u *unpacker) byte() byte {
	if len(u.rest) == 0 {
		u.malformed = true
		return 0
	}
	b := u.rest[0]
	u.rest = u.rest[1:]
	return b
}

// count reads the number of items that follow, of size bytes each or more.
func (u *unpacker) count(size int) int {
	n := u.number()
	if n > len(u.rest)/size {
		u.malformed, u.rest = true, nil
		return 0
	}
	return n
}

// hash reads a worker's hash.
func (u *unpacker) hash() uint32 {
	if len(u.rest) < 4 {
		u.malformed, u.rest = true, nil
		return 0
	}
	hash := binary.BigEndian.Uint32(u.rest)
	u.rest = u.rest[4:]
	return hash
}
