package fairshare

import (
	"encoding/json"
	"maps"
	"math"
	"slices"

	"github.com/fireflygate/fireflygate/workload"
)

// The bounds that a rejected set of shares violates, as they appear in logs.
const (
	// BoundOfShare is the bound of each share.
	BoundOfShare = "above 0 and at most 1"
	// BoundOfSum is the bound of the sum of a pool's shares.
	BoundOfSum = "sum of the pool's shares at most 1"
)

// sumTolerance allows for the rounding of shares that sum to 1.
const sumTolerance = 1e-9

// Rejection says why the shares of a pool are invalid.
type Rejection struct {
	Pool, Queue string
	// Value is the share of the queue, or the sum of the pool's shares up to it, that
	// violates the bound. NaN is a share that isn't a number.
	Value float64
	Bound string
}

// Resolve returns the shares that are in force, by queue. queues are those of a new
// configuration, of which wanted holds the shares that it sets, by queue; before are the
// queues of the configuration in force, with their shares. A pool whose wanted shares
// are invalid keeps the shares of before for the queues that it still has; rejections,
// one for each such pool, are in order of the queues.
func Resolve(queues []workload.Queue, wanted map[string]float64, before []workload.Queue) (map[string]float64, []Rejection) {
	rejections := reject(queues, wanted)
	inForce := maps.Clone(wanted)
	for _, q := range queues {
		if !slices.ContainsFunc(rejections, func(r Rejection) bool { return r.Pool == q.Pool }) {
			continue
		}
		delete(inForce, q.Name)
		same := func(old workload.Queue) bool { return old.Name == q.Name && old.Pool == q.Pool }
		if i := slices.IndexFunc(before, same); i >= 0 && before[i].GuaranteedShare > 0 {
			inForce[q.Name] = before[i].GuaranteedShare
		}
	}
	return inForce, rejections
}

// reject returns a rejection for each pool whose wanted shares are invalid, in order of the
// queues.
func reject(queues []workload.Queue, wanted map[string]float64) []Rejection {
	rejected := map[string]bool{}
	sums := map[string]float64{}
	seen := map[string]bool{}
	var rejections []Rejection
	for _, q := range queues {
		share, set := wanted[q.Name]
		if !set || seen[q.Name] || rejected[q.Pool] {
			continue
		}
		seen[q.Name] = true
		sums[q.Pool] += share
		switch {
		case !(share > 0 && share <= 1): // also not a number
			rejections = append(rejections, Rejection{Pool: q.Pool, Queue: q.Name, Value: share, Bound: BoundOfShare})
		case sums[q.Pool] > 1+sumTolerance:
			rejections = append(rejections, Rejection{Pool: q.Pool, Queue: q.Name, Value: sums[q.Pool], Bound: BoundOfSum})
		default:
			continue
		}
		rejected[q.Pool] = true
	}
	return rejections
}

// ParseShare returns the share that a text in JSON sets, NaN if it isn't a number.
func ParseShare(text []byte) float64 {
	var share float64
	if json.Unmarshal(text, &share) != nil {
		return math.NaN()
	}
	return share
}
