// Package platformlog is the client of the platform's log service. It appends records
// in batches, finds out whether an append without a reply took effect, reads and
// tails streams, and encodes and decodes the bodies of records. A tail is a read
// that continues as records are appended. The log is the system's only durable
// store.
//
// A process builds its state by calling Client.Tail from offset 1, or from the offset
// after the newest record that it has applied, and applies the records in the order
// in which Tail delivers them. When records from that offset on have expired, Tail
// begins with the newest snapshot for which all later records are retained. The
// snapshot replaces the state, and no older record is needed. SnapshotDue decides when
// to append the next snapshot.
//
// A Client owns the queues of records that wait to be appended. One mutex guards the
// queues and what the client knows of the health of the log. It is never held during
// a request.
package platformlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxResponseHeaderBytes bounds the header of a response. net/http reads 10 MB by default,
// on each connection.
const maxResponseHeaderBytes = 64 << 10

// The streams of the log that the system uses.
const (
	StreamConfig = "config"
	StreamJobs   = "jobs"
)

// ErrNotAppended means that none of the records of the call is in the log and none
// will be appended later.
var ErrNotAppended = errors.New("not appended to the log")

// ErrOutcomeUnknown means that the records may have been appended, or may still be
// appended later.
var ErrOutcomeUnknown = errors.New("unknown whether appended to the log")

// ExpiredError means that the records at the offset of a read are no longer retained.
type ExpiredError struct {
	Stream string
	// Oldest is the offset of the oldest retained record.
	Oldest int64
}

func (e ExpiredError) Error() string {
	return fmt.Sprintf("log stream %s: records below offset %d have expired", e.Stream, e.Oldest)
}

// downDuration is how long the log counts as down after a failed request. The next
// request after that shows whether it is up again.
const downDuration = time.Second

// Client talks to one log service. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	// timeout is the maximum duration of a request. The wait of a long poll is
	// added to it.
	timeout time.Duration
	// minAppendInterval is the minimum time between two appends to a stream.
	minAppendInterval time.Duration
	seed              uint64

	mu     sync.Mutex
	random *rand.Rand
	queues map[string]*queue
	// appendsDownUntil is the time until which the log counts as down because the
	// newest append failed, or zero if it succeeded. readsDownUntil is the same
	// for reads.
	appendsDownUntil, readsDownUntil time.Time
	// averageDelay is the moving average of the time from a call of Append to the
	// reply with its offsets. delayUpdatedAt is when the newest such reply arrived.
	averageDelay   time.Duration
	delayUpdatedAt time.Time
}

// Option configures a Client.
type Option func(*Client)

// defaultTimeout is the maximum duration of a request unless WithTimeout sets another.
const defaultTimeout = 5 * time.Second

// WithTimeout sets the maximum duration of a request, to which the wait of a long
// poll is added. The default is 5 s.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithMinAppendInterval sets the minimum time between two appends to a stream. Records
// of calls in between are combined into the next append. The default of 20 ms allows
// 50 appends a second for each process and stream, so that four entries with two
// streams each stay within several hundred appends a second.
func WithMinAppendInterval(d time.Duration) Option {
	return func(c *Client) { c.minAppendInterval = d }
}

// WithSeed sets the seed of the random part of retry delays. The default is a random
// seed.
func WithSeed(seed uint64) Option { return func(c *Client) { c.seed = seed } }

// New returns a client of the log service at the base URL.
func New(baseURL string, options ...Option) *Client {
	c := &Client{
		baseURL:           baseURL,
		timeout:           defaultTimeout,
		minAppendInterval: 20 * time.Millisecond,
		seed:              rand.Uint64(),
		queues:            map[string]*queue{},
	}
	for _, o := range options {
		o(c)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 8
	transport.MaxResponseHeaderBytes = maxResponseHeaderBytes
	c.http = &http.Client{Transport: transport}
	c.random = rand.New(rand.NewPCG(c.seed, 0))
	return c
}

// do sends a request. After one without a response in time, it closes the idle connections,
// which may have stopped transferring data together with that of the request.
func (c *Client) do(request *http.Request) (*http.Response, error) {
	response, err := c.http.Do(request)
	if errors.Is(err, context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
	return response, err
}

// Seed returns the seed of the random part of retry delays.
func (c *Client) Seed() uint64 { return c.seed }

// Down reports whether the newest append or the newest read failed less than a second
// ago. An append that the log service refused with a 4xx status does not count. While
// Down is true, entries refuse requests that need the log.
func (c *Client) Down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return now.Before(c.appendsDownUntil) || now.Before(c.readsDownUntil)
}

// delayMaxAge is how long the average delay is used after the newest reply. Jobs are
// refused while the delay is long, so without this limit there might be no append
// that lowers the average.
const delayMaxAge = 5 * time.Second

// AppendDelay returns the average time from a call of Append to the reply of the log,
// or 0 if the newest reply is more than 5 s old. If an append in flight has already
// taken longer, AppendDelay returns the time that it has taken so far.
func (c *Client) AppendDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := time.Duration(0)
	if time.Since(c.delayUpdatedAt) < delayMaxAge {
		delay = c.averageDelay
	}
	for _, q := range c.queues {
		if !q.sentAt.IsZero() {
			delay = max(delay, time.Since(q.sentAt))
		}
	}
	return delay
}

// recordHealth sets downUntil, which is appendsDownUntil or readsDownUntil, according
// to the result of a request.
func (c *Client) recordHealth(downUntil *time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*downUntil = time.Time{}
	if err != nil {
		*downUntil = time.Now().Add(downDuration)
	}
}

// backoff returns the wait before retry n, counted from 0. The maximum wait doubles
// from 100 ms to 2 s. The wait is random between half of the maximum and all of it,
// so that processes do not retry at the same time.
func (c *Client) backoff(n int) time.Duration {
	d := min(100*time.Millisecond<<min(n, 10), 2*time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)))
}
