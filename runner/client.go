package runner

import "context"

// Client sends orders to workers. Implementations are safe for concurrent
// use and honour the context's deadline.
type Client interface {
	// Start, Stop and SetCPULimit send an order and return its result.
	Start(ctx context.Context, w Worker, o Start) Answer
	Stop(ctx context.Context, w Worker, o Stop) Answer
	SetCPULimit(ctx context.Context, w Worker, o CPULimit) Answer
	// Renew renews the lease and returns the report; the report is empty
	// unless the answer is Done.
	Renew(ctx context.Context, w Worker, o Renewal) (Answer, Report)
}
