package hedge

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	errFailed = errors.New("failed")
	errGone   = errors.New("gone")
)

// TestDo guards against a request that waits for a reply which does not come, one that is
// sent more often than twice, and one that takes an error for a reply or a reply for an error.
func TestDo(t *testing.T) {
	never := func(ctx context.Context) (string, error) { <-ctx.Done(); return "", ctx.Err() }
	reply := func(after time.Duration, text string, err error) func(context.Context) (string, error) {
		return func(context.Context) (string, error) { time.Sleep(after); return text, err }
	}
	closed := make(chan struct{})
	close(closed)
	for _, test := range []struct {
		name          string
		first, second func(context.Context) (string, error)
		now           <-chan struct{}
		want          string
		err           error
		sent          int
		overdue       bool
	}{
		{"in time", reply(0, "a", nil), never, nil, "a", nil, 1, false},
		{"never", never, reply(0, "b", nil), nil, "b", nil, 2, true},
		{"late, and before the second", reply(120*time.Millisecond, "a", nil), never, nil, "a", nil, 2, true},
		{"fails before it is overdue", reply(0, "", errFailed), never, nil, "", errFailed, 1, false},
		{"fails after it is overdue", reply(120*time.Millisecond, "", errFailed), reply(80*time.Millisecond, "b", nil), nil, "b", nil, 2, true},
		{"the second fails", reply(150*time.Millisecond, "a", nil), reply(0, "", errFailed), nil, "a", nil, 2, true},
		{"both fail", reply(150*time.Millisecond, "", errFailed), reply(0, "", errFailed), nil, "", errFailed, 2, true},
		{"an error that is a reply", reply(0, "", errGone), never, nil, "", errGone, 1, false},
		{"the second gets an error that is a reply", never, reply(0, "", errGone), nil, "", errGone, 2, true},
		{"at once", never, reply(0, "b", nil), closed, "b", nil, 2, false},
		{"neither", never, never, nil, "", context.DeadlineExceeded, 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			defer cancel()
			sent, overdue := make(chan bool, 3), false
			got, err := Request[string]{
				Overdue: 80 * time.Millisecond, OnOverdue: func() { overdue = true }, Now: test.now,
				IsReply: func(err error) bool { return errors.Is(err, errGone) },
				Send: func(ctx context.Context, again bool) (string, error) {
					sent <- again
					if again {
						return test.second(ctx)
					}
					return test.first(ctx)
				},
			}.Do(ctx)
			c.Check(got, qt.Equals, test.want)
			c.Check(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
			for deadline := time.Now().Add(time.Second); len(sent) < test.sent && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			c.Check(sent, qt.HasLen, test.sent)
			c.Check(overdue, qt.Equals, test.overdue)
		})
	}
}
