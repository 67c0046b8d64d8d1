// Package pause lets time pass while a context may end.
package pause

import (
	"context"
	"time"
)

// For waits for d; it reports false when the context ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
