// Package pause waits without holding on beyond a context. It owns no state.
package pause

import (
	"context"
	"time"
)

// For waits until the time has passed or ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
