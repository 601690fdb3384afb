// Package workpool runs functions on a fixed number of workers that take them
// from one bounded queue. Socket callbacks hand their work to a pool, so that
// no callback blocks. The pool owns its queue and takes no other lock.
package workpool

import (
	"errors"
	"sync"
)

// ErrFull says that the queue is full; the caller sheds the work.
var ErrFull = errors.New("work queue is full")

// ErrClosed says that the pool no longer takes work.
var ErrClosed = errors.New("work pool is closed")

// Pool is a fixed number of workers. The zero value is not usable; see New.
type Pool struct {
	mu     sync.RWMutex
	closed bool
	queue  chan func()
	done   sync.WaitGroup
}

// New starts the workers. The queue holds at most depth functions that wait.
func New(workers, depth int) *Pool {
	p := &Pool{queue: make(chan func(), depth)}
	for range workers {
		p.done.Go(p.work)
	}
	return p
}

func (p *Pool) work() {
	for f := range p.queue {
		f()
	}
}

// Submit queues the function and returns at once. It returns ErrFull or
// ErrClosed when the function will not run.
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

// Waiting is the number of functions that no worker has taken yet.
func (p *Pool) Waiting() int { return len(p.queue) }

// Close takes no more work, runs what is queued, and returns when every
// worker has ended.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.queue)
	}
	p.mu.Unlock()
	p.done.Wait()
}
