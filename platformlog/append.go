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

// Bounds of one append and of a stream's queue.
const (
	// linger is how long the first record of a batch waits for others.
	linger          = 2 * time.Millisecond
	maxBatchRecords = 512
	// MaxBatchBytes bounds the records of one append, as JSON. The service
	// takes requests of 8 MiB.
	MaxBatchBytes = 6 << 20
	// maxQueueBytes bounds what waits while the log is slow.
	maxQueueBytes = 32 << 20
	// maxThrottled is how often a batch that the service refused with 429 is
	// sent again.
	maxThrottled = 5
	// averageOver is the weight of the moving average of the delay.
	averageOver = 8
)

// Record is one record to append.
type Record struct {
	// ID is unique within the stream. It is never empty.
	ID string
	// Body is encoded as JSON.
	Body any
}

// queue holds the calls that wait for the next append to a stream. The
// client's mutex guards it.
type queue struct {
	calls []*call
	bytes int
	// sending says that a goroutine sends the queue's batches.
	sending bool
	// sentAt is when the append in flight was sent, zero when there is none.
	sentAt time.Time
	// next is the offset behind the newest record that the client knows of, 0
	// for none. A lost append is looked for from here on.
	next int64
}

// call is one call of Append.
type call struct {
	ctx     context.Context
	records []json.RawMessage
	firstID string
	bytes   int
	// began is when Append was called.
	began time.Time
	// taken says that a batch holds the call. The client's mutex guards it.
	taken bool
	// answer takes one answer and never blocks.
	answer chan answer
}

type answer struct {
	first int64
	err   error
}

// Append appends the records in their order, adjacent to one another, and
// returns their offsets. Concurrent calls are joined into one append.
//
// An error is ErrNotAppended or ErrUnknown. ErrNotAppended is certain, because
// the request never got a connection, or because the service itself answered
// with a status of 4xx or 503. After any other failure (a timeout, a cut
// connection, another status, an answer that cannot be read) the call reads
// the stream back and looks for the records' IDs until ctx ends, and then
// returns ErrUnknown: records that are not found may still come, because a
// delayed request can take effect later. A caller that needs to know appends
// again with the same IDs; the folds ignore the second copy.
func (c *Client) Append(ctx context.Context, stream string, records ...Record) ([]int64, error) {
	k, err := newCall(ctx, records)
	if err != nil {
		return nil, fmt.Errorf("log stream %s: %w: %w", stream, ErrNotAppended, err)
	}
	if err := c.enqueue(stream, k); err != nil {
		return nil, fmt.Errorf("log stream %s: %w: %w", stream, ErrNotAppended, err)
	}
	var a answer
	select {
	case a = <-k.answer:
	case <-ctx.Done():
		a = c.withdraw(stream, k)
	}
	if a.err != nil {
		return nil, fmt.Errorf("log stream %s: %w", stream, a.err)
	}
	offsets := make([]int64, len(records))
	for i := range offsets {
		offsets[i] = a.first + int64(i)
	}
	return offsets, nil
}

func newCall(ctx context.Context, records []Record) (*call, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if len(records) == 0 || len(records) > maxBatchRecords {
		return nil, fmt.Errorf("records: found %d, allowed: 1 to %d", len(records), maxBatchRecords)
	}
	k := &call{ctx: ctx, firstID: records[0].ID, began: time.Now(), answer: make(chan answer, 1)}
	for i, r := range records {
		if r.ID == "" {
			return nil, fmt.Errorf("records[%d].id: found an empty text, allowed: any other", i)
		}
		text, err := json.Marshal(wire.AppendRecord{ID: r.ID, Body: r.Body})
		if err != nil {
			return nil, fmt.Errorf("records[%d].body: %w", i, err)
		}
		k.records = append(k.records, text)
		k.bytes += len(text) + 1
	}
	if k.bytes > MaxBatchBytes {
		return nil, fmt.Errorf("records: found %d bytes, allowed: at most %d", k.bytes, MaxBatchBytes)
	}
	return k, nil
}

func (c *Client) enqueue(stream string, k *call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue(stream)
	if q.bytes+k.bytes > maxQueueBytes {
		return fmt.Errorf("%d bytes wait to be appended, allowed: at most %d", q.bytes+k.bytes, maxQueueBytes)
	}
	q.calls = append(q.calls, k)
	q.bytes += k.bytes
	if !q.sending {
		q.sending = true
		go c.send(stream, q)
	}
	return nil
}

// queue returns the queue of the stream. The caller holds the mutex.
func (c *Client) queue(stream string) *queue {
	q, ok := c.queues[stream]
	if !ok {
		q = &queue{}
		c.queues[stream] = q
	}
	return q
}

// withdraw answers a call whose context ended.
func (c *Client) withdraw(stream string, k *call) answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case a := <-k.answer:
		return a
	default:
	}
	if k.taken {
		return answer{err: fmt.Errorf("%w: %w", ErrOutcomeUnknown, k.ctx.Err())}
	}
	// take skips the call, because it will find its context ended.
	return answer{err: fmt.Errorf("%w: %w", ErrNotAppended, k.ctx.Err())}
}

// send sends batches until the queue is empty.
func (c *Client) send(stream string, q *queue) {
	for {
		time.Sleep(linger)
		sent := time.Now()
		batch, from := c.take(q, sent)
		if batch == nil {
			return
		}
		first, err := c.post(stream, batch)
		c.mu.Lock()
		q.sentAt = time.Time{}
		if err == nil {
			q.next = max(q.next, first+int64(count(batch)))
			c.delayAt = time.Now()
			for _, k := range batch {
				c.delay += (time.Since(k.began) - c.delay) / averageOver
			}
		}
		c.mu.Unlock()
		switch {
		case err == nil:
			settle(batch, first)
		case errors.Is(err, ErrNotAppended):
			for _, k := range batch {
				k.answer <- answer{err: err}
			}
		default:
			go c.resolve(stream, batch, from, err)
		}
		time.Sleep(c.spacing - linger - time.Since(sent))
	}
}

// take moves the next batch out of the queue and marks it in flight. It
// returns nil, and the sender ends, when the queue is empty.
func (c *Client) take(q *queue, now time.Time) (batch []*call, from int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	records, size := 0, 0
	for len(q.calls) > 0 {
		k := q.calls[0]
		if k.ctx.Err() == nil {
			if len(batch) > 0 && (records+len(k.records) > maxBatchRecords || size+k.bytes > MaxBatchBytes) {
				break
			}
			k.taken = true
			batch = append(batch, k)
			records += len(k.records)
			size += k.bytes
		}
		q.bytes -= k.bytes
		q.calls = q.calls[1:]
	}
	if batch == nil {
		q.sending = false
		return nil, 0
	}
	q.sentAt = now
	return batch, max(q.next, 1)
}

func count(batch []*call) (n int) {
	for _, k := range batch {
		n += len(k.records)
	}
	return n
}

// settle answers the calls of a batch that begins at the offset.
func settle(batch []*call, first int64) {
	for _, k := range batch {
		k.answer <- answer{first: first}
		first += int64(len(k.records))
	}
}

// post appends the batch. It sends again only what the service refused for
// its rate.
func (c *Client) post(stream string, batch []*call) (first int64, err error) {
	var body bytes.Buffer
	body.WriteString(`{"records":[`)
	for _, k := range batch {
		for _, r := range k.records {
			if body.Len() > len(`{"records":[`) {
				body.WriteByte(',')
			}
			body.Write(r)
		}
	}
	body.WriteString(`]}`)
	for n := 0; ; n++ {
		first, status, err := c.postOnce(stream, body.Bytes())
		// A status of 4xx is about the request; the log itself is up.
		if status < 400 || status >= 500 {
			c.note(&c.appendsDownUntil, err)
		}
		if status != http.StatusTooManyRequests || n == maxThrottled {
			return first, err
		}
		time.Sleep(c.backoff(0))
	}
}

func (c *Client) postOnce(stream string, body []byte) (first int64, status int, err error) {
	// The context is not that of a call, because the batch has many.
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(body))
	if err != nil {
		return 0, 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		if !connected.Load() {
			return 0, 0, fmt.Errorf("%w: %w", ErrNotAppended, err)
		}
		return 0, 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
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

// resolve looks for the batch from the offset on until it is found or the
// context of every call has ended.
func (c *Client) resolve(stream string, batch []*call, from int64, cause error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		for _, k := range batch {
			select {
			case <-k.ctx.Done():
			case <-ctx.Done():
				return
			}
		}
	}()
	for n := 0; ; n++ {
		page, err := c.Read(ctx, stream, from, maxReadRecords, resolveWait)
		var expired ExpiredError
		switch {
		case errors.As(err, &expired):
			from = expired.Oldest
			continue
		case err != nil && sleep(ctx, c.backoff(n)) != nil:
			for _, k := range batch {
				k.answer <- answer{err: fmt.Errorf("%w: not found yet after %w", ErrOutcomeUnknown, cause)}
			}
			return
		case err != nil:
			continue
		}
		n = 0
		for _, r := range page.Records {
			if r.ID == batch[0].firstID {
				settle(batch, int64(r.Offset))
				return
			}
		}
		from = page.Next
	}
}

// resolveWait is how long one read of resolve waits for new records.
const resolveWait = time.Second

// sleep waits, or returns the context's error when it ends before.
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
