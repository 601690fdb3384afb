package recordlog

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Timing of hedged appends. The store normally replies within about 6 ms, and
// within half a second when it is slow. A reply can also be lost without any
// error.
const (
	// attemptTimeout bounds one attempt.
	attemptTimeout = 2 * time.Second
	// hedgeDelay is the wait for a reply before a second attempt is sent on
	// a new connection. The wait doubles with each further attempt, up to attemptTimeout,
	// after which the earlier ones have ended. It starts anew with an attempt that no other
	// accompanies.
	hedgeDelay = 300 * time.Millisecond
	// initialBackoff is the wait before the next attempt when an attempt has
	// failed, for example was refused, and none is in flight. The wait doubles
	// each time, up to maxBackoff.
	initialBackoff = 60 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// maxInFlight bounds the attempts of one call that are in flight at the same
	// time.
	maxInFlight = 4
)

// AppendWithRetry appends the records, and repeats the append until its outcome
// is certain or ctx ends. It returns the offset of the first record. Repeating
// the append must be harmless, either because a fence is given, with which the
// store carries the append out at most once, or because a second copy of the same
// keys and values changes nothing for the readers.
//
// ErrNotAppended means that every attempt was refused, so none of them will take
// effect. ErrOutcomeUnknown means that ctx ended while an attempt was in flight
// or after the outcome of one remained unknown. ErrFenced, ErrOutOfOrderSequence and
// ErrRejected are not retried.
func AppendWithRetry(ctx context.Context, log Log, topic string, fence *Fence, records []Record, options ...Option) (int64, error) {
	if fence != nil {
		// An attempt can begin, or still be in flight, when the call has returned and the caller
		// raises the sequence number for its next append. With that number it would take the
		// place of the next append, which the store would answer as a repetition.
		unchanged := *fence
		fence = &unchanged
	}
	call := appendCall{log: log, topic: topic, fence: fence, records: records, results: make(chan appendResult, maxInFlight)}
	for _, o := range options {
		o(&call)
	}
	return call.run(ctx)
}

// Option configures a call of AppendWithRetry.
type Option func(*appendCall)

// WithRefusalDeadline ends the call at the first refusal after the time t, if no
// attempt is in flight and none has had an unknown outcome. t is compared with
// time.Now and should carry a monotonic clock reading.
func WithRefusalDeadline(t time.Time) Option { return func(s *appendCall) { s.refusalDeadline = t } }

// appendCall is one call of AppendWithRetry with its attempts.
type appendCall struct {
	log     Log
	topic   string
	fence   *Fence
	records []Record
	results chan appendResult
	// inFlight is the number of attempts that have not ended. outcomeUnknown is
	// true when an attempt ended without a certain outcome, so that it may have
	// taken effect or still do so.
	inFlight       int
	outcomeUnknown bool
	// rejected is the ErrRejected of an attempt, after which no further one is started.
	rejected error
	// refusalDeadline is set by WithRefusalDeadline; zero means that refusals are
	// retried until ctx ends.
	refusalDeadline time.Time
}

type appendResult struct {
	offset int64
	err    error
}

func (c *appendCall) run(ctx context.Context) (int64, error) {
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	hedgeInterval, backoff := hedgeDelay, initialBackoff
	c.startAttempt(ctx)
	for {
		select {
		case <-ctx.Done():
			return 0, c.contextError(ctx.Err())
		case <-hedge.C:
			hedgeInterval = min(2*hedgeInterval, attemptTimeout)
			if c.inFlight == 0 {
				hedgeInterval = hedgeDelay
			}
			if c.inFlight < maxInFlight && c.rejected == nil {
				if c.inFlight > 0 {
					c.log.CloseIdleConnections()
				}
				c.startAttempt(ctx)
			}
			hedge.Reset(hedgeInterval)
		case result := <-c.results:
			c.inFlight--
			switch {
			case result.err == nil:
				return result.offset, nil
			case errors.Is(result.err, ErrFenced), errors.Is(result.err, ErrOutOfOrderSequence):
				return 0, result.err
			case errors.Is(result.err, ErrRejected):
				c.rejected = result.err
			case errors.Is(result.err, ErrOutcomeUnknown):
				c.outcomeUnknown = true
			}
			if c.inFlight == 0 {
				if c.rejected != nil {
					return 0, c.rejection()
				}
				if !c.outcomeUnknown && !c.refusalDeadline.IsZero() && time.Now().After(c.refusalDeadline) {
					return 0, result.err
				}
				hedge.Reset(backoff)
				backoff = min(2*backoff, maxBackoff)
			}
		}
	}
}

// rejection returns the error of a call whose attempts have all ended, one of them rejected.
func (c *appendCall) rejection() error {
	if c.outcomeUnknown {
		return fmt.Errorf("topic %s: %w, then %s", c.topic, ErrOutcomeUnknown, c.rejected.Error())
	}
	return c.rejected
}

// contextError returns the error of a call whose context has ended.
func (c *appendCall) contextError(cause error) error {
	if c.outcomeUnknown || c.inFlight > 0 {
		return fmt.Errorf("topic %s: %w: %w", c.topic, ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("topic %s: %w: %w", c.topic, ErrNotAppended, cause)
}

// startAttempt sends the records once more. The attempt continues after run has
// returned, so that no connection to the store is closed in the middle of a
// request.
func (c *appendCall) startAttempt(ctx context.Context) {
	c.inFlight++
	go func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
		defer cancel()
		offset, err := c.log.Append(bounded, c.topic, c.fence, c.records)
		c.results <- appendResult{offset, err}
	}()
}
