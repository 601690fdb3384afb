package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"time"

	"celerypoint.example/celerypoint/hedge"
	"celerypoint.example/celerypoint/wire"
)

const (
	// maxReadRecords is the maximum number of records in a page that Tail and
	// resolveOutcome read. tailWait is how long a read of Tail waits for new
	// records. A connection can stop transferring data without an error: overdueDelay after
	// the wait, Tail reads once more on a new connection. A change of the configuration has
	// to be in force after 5 s.
	maxReadRecords = 1000
	tailWait       = 3 * time.Second
	overdueDelay   = 500 * time.Millisecond
	// maxResponseBytes is the maximum size of a response of the log service. A page
	// ends after the record with which it reaches 4 MiB, and one record has at most
	// MaxBatchBytes.
	maxResponseBytes = 16 << 20
)

// Page holds records of a stream.
type Page struct {
	// Oldest is the offset of the oldest retained record.
	Oldest int64
	// Next is the offset to read from next.
	Next int64
	// Records are in the order in which they must be applied.
	Records []wire.LogRecord
}

func (c *Client) url(stream string) string {
	return c.baseURL + "/streams/" + url.PathEscape(stream)
}

// Read returns up to max records from the offset on. If there are none, it waits for
// one for at most wait, and then returns an empty page. It returns ExpiredError if
// the first records from the offset on are no longer retained.
func (c *Client) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Page, error) {
	p, err := c.read(ctx, stream, from, max, wait)
	var expired ExpiredError
	if ctx.Err() == nil {
		failed := err
		if errors.As(err, &expired) {
			failed = nil
		}
		c.recordHealth(&c.readsDownUntil, failed)
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
	response, err := c.do(request)
	if err != nil {
		return Page{}, fmt.Errorf("log stream %s: read: %w", stream, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
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
	var p struct {
		wire.ReadResponse
		// Records hides that of ReadResponse: one that cannot be decoded must not hide the
		// others.
		Records []json.RawMessage `json:"records"`
	}
	if err := wire.Decode(text, &p); err != nil {
		return Page{}, fmt.Errorf("log stream %s: read: %w", stream, err)
	}
	return Page{Oldest: int64(p.Oldest), Next: int64(p.Next), Records: decodeRecords(from, p.Records)}, nil
}

// decodeRecords decodes the records of a page that begins at the offset from. Offsets have no
// gaps. A record that cannot be decoded, or has another offset, gets the one that follows and
// no ID, so that ParseConfig and ParseJob return an error for it.
func decodeRecords(from int64, all []json.RawMessage) []wire.LogRecord {
	records := make([]wire.LogRecord, 0, len(all))
	next := max(1, int(from))
	for _, raw := range all {
		var r wire.LogRecord
		if err := wire.Decode(raw, &r); err != nil || r.Offset != next {
			r = wire.LogRecord{Offset: next}
		}
		next++
		records = append(records, r)
	}
	return records
}

// Tail calls f with the records from the offset on, page by page as they are appended,
// until ctx ends or f returns an error, and returns that error. It retries failed
// reads until the log can be read again. An empty page means that f has received every
// record. The first empty page comes as soon as that is the case, later ones after
// tailWait without a new record.
//
// When records from the offset on have expired, the next page begins with a snapshot,
// whose parts are joined into one record. It is the newest complete snapshot for which
// all records that it does not include are retained. These records follow, also those
// with lower offsets than the snapshot's own records. Tail returns ExpiredError if
// there is no such snapshot.
func (c *Client) Tail(ctx context.Context, stream string, from int64, f func(Page) error) error {
	// Up to the first empty page, reads do not wait for new records, so that f is
	// called without delay when it has received every record.
	wait := time.Duration(0)
	for n := 0; ; {
		p, err := c.readAgain(ctx, stream, from, wait)
		var expired ExpiredError
		if errors.As(err, &expired) {
			p, err = c.readFromSnapshot(ctx, stream, expired.Oldest)
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

// readAgain reads a page and, if the reply is overdue, reads it once more on a new
// connection, without a wait. The first reply counts.
func (c *Client) readAgain(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	return hedge.Request[Page]{
		Overdue: wait + overdueDelay,
		IsReply: func(err error) bool { return errors.As(err, &ExpiredError{}) },
		Send: func(ctx context.Context, again bool) (Page, error) {
			if again {
				c.http.CloseIdleConnections()
				return c.Read(ctx, stream, from, maxReadRecords, 0)
			}
			return c.Read(ctx, stream, from, maxReadRecords, wait)
		},
	}.Do(ctx)
}

// readFromSnapshot reads all retained records. It returns the newest complete snapshot
// for which all records that it does not include are retained, followed by these
// records. They include the snapshot's own records, which have no further effect on
// the state but advance it to the offset that other processes have reached.
func (c *Client) readFromSnapshot(ctx context.Context, stream string, oldest int64) (Page, error) {
	result := Page{Next: oldest}
	var newest *snapshot
	partial := map[int64]*snapshot{}
	for {
		p, err := c.Read(ctx, stream, result.Next, maxReadRecords, 0)
		if err != nil {
			return Page{}, err
		}
		if len(p.Records) == 0 {
			break
		}
		result.Oldest, result.Next = p.Oldest, p.Next
		for _, r := range p.Records {
			result.Records = append(result.Records, r)
			s, ok := parseSnapshot(stream, r)
			if !ok || s.lastApplied+1 < oldest || newest != nil && s.lastApplied <= newest.lastApplied {
				continue
			}
			if earlier, ok := partial[s.lastApplied]; ok {
				s.addParts(earlier)
			}
			partial[s.lastApplied] = s
			if !s.complete() {
				continue
			}
			newest = s
			result.Records = slices.DeleteFunc(result.Records, func(r wire.LogRecord) bool { return int64(r.Offset) <= s.lastApplied })
			maps.DeleteFunc(partial, func(lastApplied int64, _ *snapshot) bool { return lastApplied <= s.lastApplied })
		}
	}
	if newest == nil {
		return Page{}, ExpiredError{Stream: stream, Oldest: oldest}
	}
	result.Records = slices.Insert(result.Records, 0, newest.joinedRecord())
	return result, nil
}
