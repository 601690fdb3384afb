// Package hedge sends a request to another process a second time when the reply is overdue,
// because a connection can stop transferring data without an error. The package owns no
// state and takes no lock.
package hedge

import (
	"context"
	"time"
)

// Request is a request that may be sent twice, so that carrying it out twice must be
// harmless.
type Request[T any] struct {
	// Send sends the request and returns the reply. again is false for the first time. For
	// the second, Send must use a new connection: one that has been idle may have stopped
	// transferring data together with that of the first.
	Send func(ctx context.Context, again bool) (T, error)
	// Overdue is the time after which the request is sent again.
	Overdue time.Duration
	// OnOverdue is called, unless it is nil, when that time has passed without a reply.
	OnOverdue func()
	// Now makes Do send the request again at once. It may be nil.
	Now <-chan struct{}
	// IsReply says that an error is a reply, for which Do does not wait any longer. It may be
	// nil.
	IsReply func(error) bool
}

type result[T any] struct {
	reply T
	err   error
}

// Do returns the first reply, or the last error if there is none. It returns after the end of
// ctx only if Send does. When it returns, the context of the other call of Send ends.
func (r Request[T]) Do(ctx context.Context) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result[T], 2)
	pending, now := 0, r.Now
	send := func(again bool) {
		pending++
		go func() {
			reply, err := r.Send(ctx, again)
			results <- result[T]{reply, err}
		}()
	}
	overdue := time.NewTimer(r.Overdue)
	defer overdue.Stop()
	send(false)
	for {
		select {
		case <-now:
			now = nil
			overdue.Stop()
			send(true)
		case <-overdue.C:
			now = nil
			if r.OnOverdue != nil {
				r.OnOverdue()
			}
			send(true)
		case result := <-results:
			pending--
			if result.err == nil || pending == 0 || r.IsReply != nil && r.IsReply(result.err) {
				return result.reply, result.err
			}
		}
	}
}
