// Package pause provides a sleep that ends with a context.
package pause

import (
	"context"
	"time"
)

// For sleeps for d. It returns false if the context ends first.
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
