package recordlog

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Hedging of appends. An answer of the store takes some 6 ms when it is well,
// and up to half a second when it is slow; answers can be lost without any
// sign.
const (
	// tryTimeout bounds one append.
	tryTimeout = 2 * time.Second
	// firstHedge is when an append without an answer is sent again on another
	// connection; later ones follow at twice the interval before.
	firstHedge = 300 * time.Millisecond
	// refusedPause is the least wait after a refusal; the wait doubles.
	refusedPause = 60 * time.Millisecond
	maxPause     = 500 * time.Millisecond
	// maxTries bounds the appends in flight at once.
	maxTries = 4
)

// AppendWithRetry appends until the outcome is certain or ctx ends. Repeating has to do
// no harm: either the fence makes it so, or the records' keys and values do.
//
// ErrNotAppended means that every try was refused, so that none of them will
// take effect. ErrUnknown means that ctx ended while a try was open. ErrFenced
// and ErrSequence are final.
func AppendWithRetry(ctx context.Context, log Log, topic string, fence *Fence, records []Record, options ...Option) (int64, error) {
	s := settling{log: log, topic: topic, fence: fence, records: records, answers: make(chan answer, maxTries)}
	for _, o := range options {
		o(&s)
	}
	return s.run(ctx)
}

// Option changes how Settle goes on.
type Option func(*settling)

// WithRefusalDeadline ends the call once every try was refused and the time, on
// the steady clock, has passed.
func WithRefusalDeadline(t time.Time) Option { return func(s *settling) { s.refusedUntil = t } }

// settling is one append with its tries in flight.
type settling struct {
	log     Log
	topic   string
	fence   *Fence
	records []Record
	answers chan answer
	// inFlight counts tries without an answer; unknown says that one of the
	// tries may still take effect.
	inFlight int
	unknown  bool
	// refusedUntil is when refusals are final; zero means when ctx ends.
	refusedUntil time.Time
}

type answer struct {
	offset int64
	err    error
}

func (s *settling) run(ctx context.Context) (int64, error) {
	hedge := time.NewTimer(firstHedge)
	defer hedge.Stop()
	interval, pause := firstHedge, refusedPause
	s.try(ctx)
	for {
		select {
		case <-ctx.Done():
			return 0, s.given(ctx.Err())
		case <-hedge.C:
			if s.inFlight < maxTries {
				s.try(ctx)
			}
			interval *= 2
			hedge.Reset(interval)
		case a := <-s.answers:
			s.inFlight--
			switch {
			case a.err == nil:
				return a.offset, nil
			case errors.Is(a.err, ErrFenced), errors.Is(a.err, ErrOutOfOrderSequence):
				return 0, a.err
			case errors.Is(a.err, ErrOutcomeUnknown):
				s.unknown = true
			}
			if s.inFlight == 0 {
				if !s.unknown && !s.refusedUntil.IsZero() && time.Now().After(s.refusedUntil) {
					return 0, a.err
				}
				hedge.Reset(pause)
				pause = min(2*pause, maxPause)
			}
		}
	}
}

// given is the error when ctx has ended.
func (s *settling) given(cause error) error {
	if s.unknown || s.inFlight > 0 {
		return fmt.Errorf("topic %s: %w: %w", s.topic, ErrOutcomeUnknown, cause)
	}
	return fmt.Errorf("topic %s: %w: %w", s.topic, ErrNotAppended, cause)
}

// try sends the records once more. A try outlives the call when another one
// answers first, so that the store is not cut off in the middle of a request.
func (s *settling) try(ctx context.Context) {
	s.inFlight++
	go func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), tryTimeout)
		defer cancel()
		offset, err := s.log.Append(bounded, s.topic, s.fence, s.records)
		s.answers <- answer{offset, err}
	}()
}
