// Package pause provides a sleep that the end of a context interrupts. It owns no
// state.
package pause

import (
	"context"
	"time"
)

// For returns when the duration d has passed or ctx ends, whichever is first.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
