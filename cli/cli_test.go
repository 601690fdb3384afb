package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/entryd"
	"celerypoint.example/celerypoint/httpbody"
	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/operator"
	"celerypoint.example/celerypoint/settings"
	"celerypoint.example/celerypoint/timeline"
	"celerypoint.example/celerypoint/wire"
)

// fakeEntry implements operator.Service. It applies configuration changes directly
// and returns fixed answers to other requests.
type fakeEntry struct{ state configfold.State }

func (f *fakeEntry) Config(context.Context) (configfold.State, error) { return f.state.Clone(), nil }

func (f *fakeEntry) History(context.Context, int64) ([]wire.ConfigHistory, error) {
	var h []wire.ConfigHistory
	for object, version := range f.state.Versions {
		h = append(h, wire.ConfigHistory{Offset: int(version), Object: object, Accepted: true})
	}
	return h, nil
}

func (f *fakeEntry) Change(_ context.Context, r configfold.Record) (configfold.Result, error) {
	return f.state.Apply(f.state.LastApplied+1, r), nil
}

func (f *fakeEntry) Status(context.Context) (wire.StatusView, error) {
	return wire.StatusView{Entry: "entry-a", Zone: "z", Region: "r"}, nil
}

func (f *fakeEntry) Drain(context.Context, string, bool) error { return nil }

func (f *fakeEntry) Events(context.Context) ([]timeline.Event, error) {
	return []timeline.Event{{At: time.UnixMilli(0), Process: "entry-a", Kind: "jobAccepted", Job: "j1", Sequence: 1}}, nil
}

func serveFakeEntry(t *testing.T) string {
	mux := http.NewServeMux()
	mux.Handle("/", operator.New(&fakeEntry{state: configfold.New()}))
	mux.HandleFunc("/v1/jobs/j1", func(w http.ResponseWriter, _ *http.Request) {
		httpserver.JSON(w, http.StatusOK, wire.JobView{ID: "j1", Org: "cairn", Phase: wire.JobPhaseWaiting, WaitsFor: "noFreeCapacity: 2 of 16"})
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		v := wire.JobView{ID: "j1", Org: "cairn", Phase: wire.JobPhaseEnded, Outcome: &wire.Outcome{Kind: wire.OutcomeKindFailed, Reason: "paint is dry"}}
		if r.URL.Query().Get("waitMs") == "0" {
			httpserver.JSON(w, http.StatusConflict, wire.ErrorResponse{Error: "not run: unknown", Rule: "orgUnknown"})
			return
		}
		httpserver.JSON(w, http.StatusOK, v)
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestCommands guards against changes of exit codes and of output that scripts
// rely on. It runs the commands of testdata/commands.txt in order against one
// fake entry. Each line is the arguments, the exit code, and a pattern for the
// output, or for the error output of a failed command.
func TestCommands(t *testing.T) {
	t.Setenv("CELERYPOINT_ENTRY", serveFakeEntry(t))
	text, err := os.ReadFile("testdata/commands.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		p := strings.Split(strings.TrimSpace(line), " | ")
		qt.Assert(t, p, qt.HasLen, 3, qt.Commentf("%s", line))
		t.Run(p[0], func(t *testing.T) {
			var stdout, stderr strings.Builder
			code := Run(t.Context(), strings.Fields(p[0]), &stdout, &stderr)
			qt.Check(t, fmt.Sprint(code), qt.Equals, p[1], qt.Commentf("%s", stderr.String()))
			output := stdout.String()
			if code != exitOK {
				output = stderr.String()
			}
			qt.Check(t, output, qt.Matches, "(?s).*"+p[2]+".*")
		})
	}
}

// TestHelp guards against a command whose --help fails or shows no example.
func TestHelp(t *testing.T) {
	p := &program{}
	for _, c := range p.root().Subcommands {
		names := [][]string{{c.Name}}
		for _, sub := range c.Subcommands {
			names = append(names, []string{c.Name, sub.Name})
		}
		if len(names) > 1 {
			names = names[1:]
		}
		for _, name := range names {
			var stdout strings.Builder
			qt.Check(t, Run(t.Context(), append(name, "--help"), &stdout, &stdout), qt.Equals, exitOK)
			qt.Check(t, stdout.String(), qt.Contains, "EXAMPLE\n  celerypoint "+strings.Join(name, " "))
		}
	}
}

// TestStatusScreen guards against changes of the table that `celerypoint status`
// prints.
func TestStatusScreen(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "status.json"))
	qt.Assert(t, err, qt.IsNil)
	want, err := os.ReadFile(filepath.Join("testdata", "status.txt"))
	qt.Assert(t, err, qt.IsNil)
	var s wire.StatusView
	qt.Assert(t, httpbody.Decode(data, &s), qt.IsNil)
	var out strings.Builder
	writeStatus(&out, s, time.UnixMilli(1_000_000))
	qt.Assert(t, out.String(), qt.Equals, string(want))
}

// TestDefaults guards against settings of an entry whose defaults differ from
// those of entryd.DefaultConfig.
func TestDefaults(t *testing.T) {
	s, err := settings.LoadEntry("../settings/testdata/good/entry.ini", nil)
	qt.Assert(t, err, qt.IsNil)
	got, want := entryConfig(s, processLimits{}), entryd.DefaultConfig()
	want.ID, want.Zone, want.Region, want.LogURL = got.ID, got.Zone, got.Region, got.LogURL
	want.RPCAddress, want.HTTPAddress = got.RPCAddress, got.HTTPAddress
	qt.Assert(t, got, qt.DeepEquals, want)
}
