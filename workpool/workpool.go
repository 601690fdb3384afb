// Package workpool runs functions on a fixed number of goroutines, which take
// them from one bounded queue. Socket callbacks submit their work to a pool so
// that they do not block. A pool owns its queue and one mutex, and takes no other
// lock while it holds that mutex.
package workpool

import (
	"errors"
	"runtime/debug"
	"sync"
)

// ErrFull means that the queue is full. The caller has to reject the work.
var ErrFull = errors.New("work queue is full")

// ErrClosed means that the pool is closed and accepts no more work.
var ErrClosed = errors.New("work pool is closed")

// Pool is a set of worker goroutines with a queue. The zero value is not usable;
// use New.
type Pool struct {
	mu      sync.RWMutex
	closed  bool
	queue   chan func()
	workers sync.WaitGroup
	// onPanic is nil if a panic ends the process.
	onPanic func(value any, stack []byte)
}

// Option configures a Pool.
type Option func(*Pool)

// WithPanicHandler sets a function that is called with the value and the stack when a
// submitted function has panicked. The worker then goes on. Without it, a panic ends the
// process. The function has to make sure that the state that the submitted function may
// have left half changed is not used any more.
func WithPanicHandler(f func(value any, stack []byte)) Option {
	return func(p *Pool) { p.onPanic = f }
}

// New starts a pool with the given number of workers. Its queue holds at most
// depth functions.
func New(workers, depth int, options ...Option) *Pool {
	p := &Pool{queue: make(chan func(), depth)}
	for _, o := range options {
		o(p)
	}
	for range workers {
		p.workers.Go(p.work)
	}
	return p
}

func (p *Pool) work() {
	for f := range p.queue {
		p.run(f)
	}
}

func (p *Pool) run(f func()) {
	if p.onPanic != nil {
		defer func() {
			if v := recover(); v != nil {
				p.onPanic(v, debug.Stack())
			}
		}()
	}
	f()
}

// Submit queues the function without blocking. If it returns ErrFull or
// ErrClosed, the function is not run.
func (p *Pool) Submit(f func()) error {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.closed {
		return ErrClosed
	}
	select {
	case p.queue <- f:
		return nil
	default:
		return ErrFull
	}
}

// Waiting returns the number of queued functions that no worker has started yet.
func (p *Pool) Waiting() int { return len(p.queue) }

// Close stops accepting work, runs the functions that are still queued, and
// returns when all workers have ended.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.queue)
	}
	p.mu.Unlock()
	p.workers.Wait()
}
