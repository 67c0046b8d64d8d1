package routing

import "time"

const (
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Admission is the answer to whether a request may wait.
type Admission struct {
	// Wait is whether it may.
	Wait bool
	// RetryAfter is what a refused caller is told.
	RetryAfter time.Duration
	// Reason is why it was refused.
	Reason string
}

// Admit decides whether a request with the time remaining may join a queue of
// length waiting, where slots free up perSecond and one request takes each.
// The limit follows the measured latency, since both estimates come from it.
func Admit(waiting int, full bool, perSecond float64, each, remaining time.Duration) Admission {
	if perSecond <= 0 {
		return admitBlind(full)
	}
	wait := time.Duration(float64(waiting+1) / perSecond * float64(time.Second))
	retry := clamp(wait)
	if full {
		return Admission{RetryAfter: retry, Reason: "queue_full"}
	}
	if wait+each > remaining {
		return Admission{RetryAfter: retry, Reason: "deadline_unreachable"}
	}
	return Admission{Wait: true}
}

// admitBlind decides where no rate is known since all slots are elsewhere.
func admitBlind(full bool) Admission {
	if full {
		return Admission{RetryAfter: time.Second, Reason: "queue_full"}
	}
	return Admission{Wait: true}
}

func clamp(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
