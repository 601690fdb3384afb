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

// fakeService applies changes to a configuration in memory, without a log.
type fakeService struct{ state configfold.State }

func (f *fakeService) Config(context.Context) (configfold.State, error) { return f.state.Clone(), nil }

func (f *fakeService) History(_ context.Context, from int64) ([]wire.ConfigHistory, error) {
	return []wire.ConfigHistory{{Offset: int(from), Object: "org/a"}}, nil
}

func (f *fakeService) Change(_ context.Context, r configfold.Record) (configfold.Result, error) {
	return f.state.Apply(f.state.LastApplied+1, r), nil
}

func (f *fakeService) Status(context.Context) (wire.StatusView, error) {
	return wire.StatusView{Entry: "e1"}, nil
}

func (f *fakeService) Drain(_ context.Context, id string, _ bool) error {
	if id != "v1" {
		return errors.New("no connection to VM " + id)
	}
	return nil
}

func (f *fakeService) Events(context.Context) ([]timeline.Event, error) {
	at := time.UnixMicro(5)
	return []timeline.Event{
		{At: at, Process: "e2", Sequence: 1, Kind: "third", Job: "j"},
		{At: at, Process: "e1", Sequence: 2, Kind: "second", Job: "j"},
		{At: at, Process: "e1", Sequence: 1, Kind: "first", Job: "j"},
		{At: at, Process: "e1", Sequence: 3, Kind: "other", Job: "k"},
	}, nil
}

// TestRequests guards against accepting changes that operators may not make,
// conflict responses without the version of the change that was accepted first,
// and errors that do not name the field. The requests of testdata/requests.txt
// are sent in order and share one configuration.
func TestRequests(t *testing.T) {
	h := New(&fakeService{state: configfold.New()})
	text, err := os.ReadFile("testdata/requests.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		fields := strings.Split(strings.TrimSpace(line), " | ")
		qt.Assert(t, fields, qt.HasLen, 4)
		t.Run(fields[0]+" "+fields[1], func(t *testing.T) {
			method, path, _ := strings.Cut(fields[0], " ")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(fields[1])))
			qt.Check(t, fmt.Sprint(w.Code), qt.Equals, fields[2])
			qt.Check(t, strings.TrimSpace(w.Body.String()), qt.Matches, fields[3])
		})
	}
}
