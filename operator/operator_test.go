package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
)

// fake folds changes without a log.
type fake struct{ state configfold.State }

func (f *fake) Config(context.Context) (configfold.State, error) { return f.state.Clone(), nil }

func (f *fake) History(_ context.Context, from int64) ([]wire.ConfigHistory, error) {
	return []wire.ConfigHistory{{Offset: int(from), Object: "org/a"}}, nil
}

func (f *fake) Change(_ context.Context, r configfold.Record) (configfold.Result, error) {
	return f.state.Apply(f.state.LastApplied+1, r), nil
}

func (f *fake) Status(context.Context) (wire.StatusView, error) {
	return wire.StatusView{Entry: "e1"}, nil
}

func (f *fake) Drain(_ context.Context, id string, _ bool) error {
	if id != "v1" {
		return errors.New("no connection to VM " + id)
	}
	return nil
}

func (f *fake) Events(context.Context) ([]timeline.Event, error) {
	at := time.UnixMicro(5)
	return []timeline.Event{
		{At: at, Process: "e2", Sequence: 1, Kind: "third", Job: "j"},
		{At: at, Process: "e1", Sequence: 2, Kind: "second", Job: "j"},
		{At: at, Process: "e1", Sequence: 1, Kind: "first", Job: "j"},
		{At: at, Process: "e1", Sequence: 3, Kind: "other", Job: "k"},
	}, nil
}

// TestRequests guards against changes that operators may not make, conflicts
// without the winner's version, and errors that do not name the field. The
// requests of testdata/requests.txt run in order over one configuration.
func TestRequests(t *testing.T) {
	h := New(&fake{state: configfold.New()})
	text, err := os.ReadFile("testdata/requests.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		p := strings.Split(strings.TrimSpace(line), " | ")
		qt.Assert(t, p, qt.HasLen, 4)
		t.Run(p[0]+" "+p[1], func(t *testing.T) {
			method, path, _ := strings.Cut(p[0], " ")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(p[1])))
			qt.Check(t, fmt.Sprint(w.Code), qt.Equals, p[2])
			qt.Check(t, strings.TrimSpace(w.Body.String()), qt.Matches, p[3])
		})
	}
}
