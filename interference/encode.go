package interference

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Encode returns the stored value of estimates in at most the given number of bytes. If they
// don't all fit, each class keeps the pairs that it has observed last.
func Encode(estimates []ClassEstimate, most int) ([]byte, error) {
	value, err := msgpack.Marshal(estimates)
	for err == nil && len(value) > most && len(estimates) > 0 {
		estimates = thin(estimates, most, len(value))
		value, err = msgpack.Marshal(estimates)
	}
	return value, errors.Wrap(err, "encode interference estimates")
}

// thin returns the estimates without the pairs that were observed least recently, so that of
// their size about most bytes are left. Without any pairs, it leaves out the last class.
func thin(estimates []ClassEstimate, most, size int) []ClassEstimate {
	pairs, longest := 0, 0
	for i := range estimates {
		pairs += len(estimates[i].Pairs)
		longest = max(longest, len(estimates[i].Pairs))
	}
	if pairs == 0 {
		return estimates[:len(estimates)-1]
	}
	kept := min(longest*most/size, longest-1)
	thinned := slices.Clone(estimates)
	for i := range thinned {
		e := &thinned[i]
		if len(e.Pairs) <= kept {
			continue
		}
		e.Pairs = slices.SortedFunc(slices.Values(e.Pairs), func(a, b PairWeight) int { return cmp.Compare(b.lastSeen, a.lastSeen) })[:kept]
	}
	return thinned
}
