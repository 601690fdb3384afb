package platformlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
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
	var expired ExpiredError
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
		return Page{}, ExpiredError{Stream: stream, Oldest: int64(e.Oldest)}
	default:
		return Page{}, fmt.Errorf("log stream %s: read: status %d: %s", stream, response.StatusCode, bytes.TrimSpace(text))
	}
	var p wire.ReadResponse
	if err := wire.Decode(text, &p); err != nil {
		return Page{}, fmt.Errorf("log stream %s: read: %w", stream, err)
	}
	return Page{Oldest: int64(p.Oldest), Next: int64(p.Next), Records: p.Records}, nil
}

// Tail calls f with the pages from the offset on as they come, until ctx ends
// or f returns an error, and returns that error. It goes on over outages. An
// empty page says that f has had every record; the first one comes at once,
// later ones when there was no new record for a while.
//
// When records from the offset on have expired, the next page begins with the
// newest whole snapshot whose following records are all retained, joined into
// one record, and all records behind the offset that it covers follow, also
// those with lower offsets than the snapshot's. Tail returns ErrExpired when no
// such snapshot is retained.
func (c *Client) Tail(ctx context.Context, stream string, from int64, f func(Page) error) error {
	// Reads do not wait before the first empty page, so that f learns at once
	// that it has all.
	wait := time.Duration(0)
	for n := 0; ; {
		p, err := c.Read(ctx, stream, from, maxReadRecords, wait)
		var expired ExpiredError
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
		n = 0
		if len(p.Records) == 0 {
			wait = tailWait
		}
		if err := f(p); err != nil {
			return err
		}
		from = p.Next
	}
}

// recover reads all records from the oldest retained on, and returns the
// newest usable snapshot and what follows the offset that it covers. That
// includes the snapshot's own records, which change nothing any more but move
// the fold to the offset that the other processes have.
func (c *Client) recover(ctx context.Context, stream string, oldest int64) (Page, error) {
	whole := Page{Next: oldest}
	var newest *snapshot
	parts := map[int64]*snapshot{}
	for {
		p, err := c.Read(ctx, stream, whole.Next, maxReadRecords, 0)
		if err != nil {
			return Page{}, err
		}
		if len(p.Records) == 0 {
			break
		}
		whole.Oldest, whole.Next = p.Oldest, p.Next
		for _, r := range p.Records {
			whole.Records = append(whole.Records, r)
			s, ok := snapshotOf(stream, r)
			if !ok || s.through+1 < oldest || newest != nil && s.through <= newest.through {
				continue
			}
			if seen, ok := parts[s.through]; ok {
				s.join(seen)
			}
			parts[s.through] = s
			if !s.whole() {
				continue
			}
			newest = s
			whole.Records = slices.DeleteFunc(whole.Records, func(r wire.LogRecord) bool { return int64(r.Offset) <= s.through })
			maps.DeleteFunc(parts, func(through int64, _ *snapshot) bool { return through <= s.through })
		}
	}
	if newest == nil {
		return Page{}, ExpiredError{Stream: stream, Oldest: oldest}
	}
	whole.Records = slices.Insert(whole.Records, 0, newest.record())
	return whole, nil
}
