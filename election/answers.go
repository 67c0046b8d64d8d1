package election

import (
	"sync"
	"time"
)

// answers records when a table service answered last. It is safe for concurrent use.
type answers struct {
	mu sync.Mutex
	at time.Time
}

// record records an answer.
func (a *answers) record() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = time.Now()
}

// age returns the time since the last answer.
func (a *answers) age() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.at)
}
