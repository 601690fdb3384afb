package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"celerypoint.example/celerypoint/wire"
)

// Constants of appends and of the queue of a stream.
const (
	// linger is the wait for further records before a batch is sent.
	linger          = 2 * time.Millisecond
	maxBatchRecords = 512
	// MaxBatchBytes is the maximum size of the records of one append as JSON. The
	// log service accepts requests of up to 8 MiB.
	MaxBatchBytes = 6 << 20
	// maxQueueBytes is the maximum size of the records that wait in the queue of a
	// stream while the log is slow.
	maxQueueBytes = 32 << 20
	// maxThrottleRetries is the number of times that a batch is sent again after
	// the log service has refused it with status 429, too many requests.
	maxThrottleRetries = 5
	// delayAverageDivisor sets the weight of the newest sample in the moving
	// average of the delay: 1/delayAverageDivisor.
	delayAverageDivisor = 8
)

// Record is one record to append.
type Record struct {
	// ID is unique within the stream and not empty.
	ID string
	// Body is encoded as JSON.
	Body any
}

// queue holds the calls that wait for the next append to a stream. Client.mu
// guards it.
type queue struct {
	calls []*appendCall
	bytes int
	// sending is true while a goroutine runs Client.send for the queue.
	sending bool
	// sentAt is when the append in flight was sent. It is zero if none is.
	sentAt time.Time
	// next is the offset after the newest record that the client knows of, or 0 if
	// it knows of none. The records of an append without a reply are searched for
	// from here on.
	next int64
}

// appendCall is one call of Append.
type appendCall struct {
	ctx     context.Context
	records []json.RawMessage
	firstID string
	bytes   int
	// startedAt is when Append was called.
	startedAt time.Time
	// inBatch is true once the call is part of a batch. Client.mu guards it.
	inBatch bool
	// result receives one value. It has room for it, so the sender never blocks.
	result chan appendResult
}

type appendResult struct {
	first int64
	err   error
}

// Append appends the records at consecutive offsets, in the given order, and returns
// the offsets. Concurrent calls are combined into one append.
//
// Errors are ErrNotAppended and ErrOutcomeUnknown. ErrNotAppended is certain: the
// records were never sent, for example because the request got no connection, or
// the log service replied with a 4xx status or with 503. After any other failure (a
// timeout, a broken connection, another status, a reply that cannot be read) Append
// reads the stream and searches for the records' IDs until ctx ends, and then
// returns ErrOutcomeUnknown. Records that were not found may still be appended,
// because a delayed request can take effect later. A caller that needs certainty
// appends the records again with the same IDs; packages jobfold and configfold
// ignore the second copy.
func (c *Client) Append(ctx context.Context, stream string, records ...Record) ([]int64, error) {
	call, err := newCall(ctx, records)
	if err != nil {
		return nil, fmt.Errorf("log stream %s: %w: %w", stream, ErrNotAppended, err)
	}
	if err := c.enqueue(stream, call); err != nil {
		return nil, fmt.Errorf("log stream %s: %w: %w", stream, ErrNotAppended, err)
	}
	var result appendResult
	select {
	case result = <-call.result:
	case <-ctx.Done():
		result = c.withdraw(stream, call)
	}
	if result.err != nil {
		return nil, fmt.Errorf("log stream %s: %w", stream, result.err)
	}
	offsets := make([]int64, len(records))
	for i := range offsets {
		offsets[i] = result.first + int64(i)
	}
	return offsets, nil
}

func newCall(ctx context.Context, records []Record) (*appendCall, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if len(records) == 0 || len(records) > maxBatchRecords {
		return nil, fmt.Errorf("records: found %d, allowed: 1 to %d", len(records), maxBatchRecords)
	}
	call := &appendCall{ctx: ctx, firstID: records[0].ID, startedAt: time.Now(), result: make(chan appendResult, 1)}
	for i, r := range records {
		if r.ID == "" {
			return nil, fmt.Errorf("records[%d].id: found an empty string, allowed: any other string", i)
		}
		text, err := json.Marshal(wire.AppendRecord{ID: r.ID, Body: r.Body})
		if err != nil {
			return nil, fmt.Errorf("records[%d].body: %w", i, err)
		}
		call.records = append(call.records, text)
		call.bytes += len(text) + 1
	}
	if call.bytes > MaxBatchBytes {
		return nil, fmt.Errorf("records: found %d bytes, allowed: at most %d", call.bytes, MaxBatchBytes)
	}
	return call, nil
}

func (c *Client) enqueue(stream string, call *appendCall) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue(stream)
	if q.bytes+call.bytes > maxQueueBytes {
		return fmt.Errorf("append queue: found %d bytes, allowed: at most %d", q.bytes+call.bytes, maxQueueBytes)
	}
	q.calls = append(q.calls, call)
	q.bytes += call.bytes
	if !q.sending {
		q.sending = true
		go c.send(stream, q)
	}
	return nil
}

// queue returns the queue of the stream. The caller holds c.mu.
func (c *Client) queue(stream string) *queue {
	q, ok := c.queues[stream]
	if !ok {
		q = &queue{}
		c.queues[stream] = q
	}
	return q
}

// withdraw returns the result of a call whose context has ended.
func (c *Client) withdraw(stream string, call *appendCall) appendResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case result := <-call.result:
		return result
	default:
	}
	if call.inBatch {
		return appendResult{err: fmt.Errorf("%w: %w", ErrOutcomeUnknown, call.ctx.Err())}
	}
	// The call stays in the queue. nextBatch drops it because its context has
	// ended.
	return appendResult{err: fmt.Errorf("%w: %w", ErrNotAppended, call.ctx.Err())}
}

// send appends the records of the queue in batches until the queue is empty.
func (c *Client) send(stream string, q *queue) {
	for {
		time.Sleep(linger)
		sent := time.Now()
		batch, from := c.nextBatch(q, sent)
		if batch == nil {
			return
		}
		first, err := c.post(stream, batch)
		c.mu.Lock()
		q.sentAt = time.Time{}
		if err == nil {
			q.next = max(q.next, first+int64(recordCount(batch)))
			c.delayUpdatedAt = time.Now()
			for _, call := range batch {
				c.averageDelay += (time.Since(call.startedAt) - c.averageDelay) / delayAverageDivisor
			}
		}
		c.mu.Unlock()
		switch {
		case err == nil:
			sendOffsets(batch, first)
		case errors.Is(err, ErrNotAppended):
			for _, call := range batch {
				call.result <- appendResult{err: err}
			}
		default:
			go c.resolveOutcome(stream, batch, from, err)
		}
		time.Sleep(c.minAppendInterval - linger - time.Since(sent))
	}
}

// nextBatch removes the calls of the next batch from the queue and marks the batch as
// in flight. It also returns the offset from which to search for the records if the
// reply is lost. Calls whose context has ended are dropped. When no other call is
// left, nextBatch returns nil, and send must return.
func (c *Client) nextBatch(q *queue, now time.Time) (batch []*appendCall, from int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	records, size := 0, 0
	for len(q.calls) > 0 {
		call := q.calls[0]
		if call.ctx.Err() == nil {
			if len(batch) > 0 && (records+len(call.records) > maxBatchRecords || size+call.bytes > MaxBatchBytes) {
				break
			}
			call.inBatch = true
			batch = append(batch, call)
			records += len(call.records)
			size += call.bytes
		}
		q.bytes -= call.bytes
		q.calls = q.calls[1:]
	}
	if batch == nil {
		q.sending = false
		return nil, 0
	}
	q.sentAt = now
	return batch, max(q.next, 1)
}

func recordCount(batch []*appendCall) (n int) {
	for _, call := range batch {
		n += len(call.records)
	}
	return n
}

// sendOffsets sends the results to the calls of a batch whose first record has the
// offset first.
func sendOffsets(batch []*appendCall, first int64) {
	for _, call := range batch {
		call.result <- appendResult{first: first}
		first += int64(len(call.records))
	}
}

// post appends the batch and returns the offset of its first record. It sends the
// batch again only if the log service refused it with status 429, too many requests.
func (c *Client) post(stream string, batch []*appendCall) (first int64, err error) {
	var body bytes.Buffer
	body.WriteString(`{"records":[`)
	for _, call := range batch {
		for _, r := range call.records {
			if body.Len() > len(`{"records":[`) {
				body.WriteByte(',')
			}
			body.Write(r)
		}
	}
	body.WriteString(`]}`)
	for n := 0; ; n++ {
		first, status, err := c.postOnce(stream, body.Bytes())
		// A 4xx status concerns the request. It does not mean that the log is down.
		if status < 400 || status >= 500 {
			c.recordHealth(&c.appendsDownUntil, err)
		}
		if status != http.StatusTooManyRequests || n == maxThrottleRetries {
			return first, err
		}
		time.Sleep(c.backoff(0))
	}
}

func (c *Client) postOnce(stream string, body []byte) (first int64, status int, err error) {
	// The batch contains several calls, so the context of none of them applies.
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.do(request)
	if err != nil {
		if !connected.Load() {
			return 0, 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
		}
		return 0, 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	status = response.StatusCode
	switch {
	case status >= 400 && status < 500, status == http.StatusServiceUnavailable:
		return 0, status, fmt.Errorf("%w: status %d: %s", ErrNotAppended, status, bytes.TrimSpace(text))
	case err != nil || status != http.StatusOK:
		return 0, status, fmt.Errorf("%w: status %d: %v", ErrOutcomeUnknown, status, err)
	}
	var a wire.AppendResponse
	if err := wire.Decode(text, &a); err != nil || a.First < 1 {
		return 0, status, fmt.Errorf("%w: found first=%d, allowed: at least 1: %v", ErrOutcomeUnknown, a.First, err)
	}
	return int64(a.First), status, nil
}

// resolveOutcome searches the stream for the records of a batch, beginning at the
// offset from, until it finds them or the contexts of all calls have ended. cause is
// the error of the append.
func (c *Client) resolveOutcome(stream string, batch []*appendCall, from int64, cause error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		for _, call := range batch {
			select {
			case <-call.ctx.Done():
			case <-ctx.Done():
				return
			}
		}
	}()
	for n := 0; ; n++ {
		page, err := c.Read(ctx, stream, from, maxReadRecords, resolveReadWait)
		var expired ExpiredError
		switch {
		case errors.As(err, &expired):
			from = expired.Oldest
			continue
		case err != nil && sleep(ctx, c.backoff(n)) != nil:
			for _, call := range batch {
				call.result <- appendResult{err: fmt.Errorf("%w: the records are not in the stream yet: %w", ErrOutcomeUnknown, cause)}
			}
			return
		case err != nil:
			continue
		}
		n = 0
		for _, r := range page.Records {
			if r.ID == batch[0].firstID {
				sendOffsets(batch, int64(r.Offset))
				return
			}
		}
		from = page.Next
	}
}

// resolveReadWait is how long each read of resolveOutcome waits for new records.
const resolveReadWait = time.Second

// sleep waits for the duration. It returns the context's error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
