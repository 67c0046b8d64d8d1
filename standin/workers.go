package standin

import (
	"context"
	"sync"

	"github.com/fireflygate/fireflygate/infra"
)

// Workers dispatches exchanges to stand-in workers in memory, by address. It
// implements infra.Workers.
type Workers struct {
	mu      sync.Mutex
	workers map[string]*Worker
}

var _ infra.Workers = (*Workers)(nil)

// NewWorkers returns an empty set.
func NewWorkers() *Workers {
	return &Workers{workers: map[string]*Worker{}}
}

// Add makes a worker reachable at address.
func (s *Workers) Add(address string, w *Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[address] = w
}

// Exchange sends one exchange to the worker at address; infra.ErrUnavailable if there
// is none.
func (s *Workers) Exchange(ctx context.Context, address string, x infra.Exchange) (infra.ExchangeReply, error) {
	s.mu.Lock()
	w, ok := s.workers[address]
	s.mu.Unlock()
	if !ok {
		return infra.ExchangeReply{}, infra.ErrUnavailable
	}
	return w.Exchange(ctx, x)
}
