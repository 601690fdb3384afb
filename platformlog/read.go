package platformlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"celerypoint.example/celerypoint/wire"
)

const (
	// maxReadRecords and tailWait shape the reads of Tail. tailWait bounds how
	// long a half-open connection goes unnoticed.
	maxReadRecords = 1000
	tailWait       = 10 * time.Second
	// maxAnswerBytes bounds an answer: a page ends behind the record that
	// reaches 4 MiB, and one record has at most MaxBatchBytes.
	maxAnswerBytes = 16 << 20
)

// Page is a run of records.
type Page struct {
	// Oldest is the offset of the oldest retained record.
	Oldest int64
	// Next is the offset to read from next.
	Next int64
	// Records are in the order in which they are to be folded.
	Records []wire.LogRecord
}

func (c *Client) url(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream)
}

// Read returns up to max records from the offset on. When there is none it
// waits for one, at most for wait, and then returns an empty page. It returns
// ErrExpired when records from the offset on are no longer retained.
func (c *Client) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Page, error) {
	p, err := c.read(ctx, stream, from, max, wait)
	var expired ErrExpired
	if ctx.Err() == nil {
		failed := err
		if errors.As(err, &expired) {
			failed = nil
		}
		c.note(&c.readsDownUntil, failed)
	}
	if err == nil {
		c.mu.Lock()
		q := c.queue(stream)
		if p.Next > q.next {
			q.next = p.Next
		}
		c.mu.Unlock()
	}
	return p, err
}

func (c *Client) read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	u := fmt.Sprintf("%s?from=%d&max=%d&waitMs=%d", c.url(stream), from, max, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Page{}, fmt.Errorf("log stream %s: read: %w", stream, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Page{}, fmt.Errorf("log stream %s: read: %w", stream, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Page{}, fmt.Errorf("log stream %s: read: %w", stream, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		var e wire.ExpiredResponse
		if err := wire.Decode(text, &e); err != nil {
			return Page{}, fmt.Errorf("log stream %s: read: %w", stream, err)
		}
		return Page{}, ErrExpired{Stream: stream, Oldest: int64(e.Oldest)}
	default:
		return Page{}, fmt.Errorf("log stream %s: read: status %d: %s", stream, response.StatusCode, bytes.TrimSpace(text))
	}
	var p wire.ReadResponse
	if err := wire.Decode(text, &p); err != nil {
		return Page{}, fmt.Errorf("log stream %s: read: %w", stream, err)
	}
	return Page{Oldest: int64(p.Oldest), Next: int64(p.Next), Records: p.Records}, nil
}

// Tail calls f with the pages from the offset on as they come, also with an
// empty one when there was no new record for a while, until ctx ends or f
// returns an error, and returns that error. It goes on over outages.
//
// When records from the offset on have expired, the next page begins with the
// newest snapshot record whose following records are all retained, and those
// records follow it, also the ones with lower offsets than the snapshot
// record's. Tail returns ErrExpired when no such snapshot is retained.
func (c *Client) Tail(ctx context.Context, stream string, from int64, f func(Page) error) error {
	// The first read does not wait, so that f learns at once that it has all.
	wait := time.Duration(0)
	for n := 0; ; {
		p, err := c.Read(ctx, stream, from, maxReadRecords, wait)
		var expired ErrExpired
		if errors.As(err, &expired) {
			p, err = c.recover(ctx, stream, expired.Oldest)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.As(err, &expired):
			return err
		case err != nil:
			if err := sleep(ctx, c.backoff(n)); err != nil {
				return err
			}
			n++
			continue
		}
		n, wait = 0, tailWait
		if err := f(p); err != nil {
			return err
		}
		from = p.Next
	}
}

// recover reads all records from the oldest retained on, and returns the
// newest usable snapshot and what follows it.
func (c *Client) recover(ctx context.Context, stream string, oldest int64) (Page, error) {
	whole := Page{Next: oldest}
	found := false
	for {
		p, err := c.Read(ctx, stream, whole.Next, maxReadRecords, 0)
		if err != nil {
			return Page{}, err
		}
		whole.Oldest, whole.Next = p.Oldest, p.Next
		for _, r := range p.Records {
			through, ok := SnapshotThrough(stream, r)
			if !ok || through+1 < oldest {
				whole.Records = append(whole.Records, r)
				continue
			}
			found = true
			kept := []wire.LogRecord{r}
			for _, k := range whole.Records {
				if _, ok := SnapshotThrough(stream, k); !ok && int64(k.Offset) > through {
					kept = append(kept, k)
				}
			}
			whole.Records = kept
		}
		switch {
		case len(p.Records) > 0:
		case found:
			return whole, nil
		default:
			return Page{}, ErrExpired{Stream: stream, Oldest: oldest}
		}
	}
}
