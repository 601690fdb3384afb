package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSiteExplain guards against an explanation from an entry that does not plan, and against
// the loss of the reasons in the output.
func TestSiteExplain(t *testing.T) {
	c := qt.New(t)
	serve := func(status int, body string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c.Check(r.URL.Path, qt.Equals, "/explain")
			c.Check(r.URL.Query().Get("queue"), qt.Equals, "checks")
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		c.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	follower := serve(http.StatusConflict, `{"planner":"entry2"}`)
	planner := serve(http.StatusOK, `{"planner":"entry2","units":[{"step":0,"verdict":"waits","reason":"it does not fit","tasks":[{"index":3}],"excludedVMs":[{"reason":"noRoom","vms":7}]}]}`)
	runCommand := func(args ...string) (int, string, string) {
		var out, errors bytes.Buffer
		code := Run(t.Context(), args, &out, &errors)
		return code, out.String(), errors.String()
	}
	path := filepath.Join(c.TempDir(), "job.json")
	c.Assert(os.WriteFile(path, []byte(`{"steps":[{"count":1}]}`), 0o600), qt.IsNil)

	code, out, errors := runCommand("site", "explain", "--entry", follower+","+planner, "--queue", "checks", path)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", errors))
	for _, want := range []string{"planner entry2", "step 0 waits: it does not fit", "task 3", "pace unknown", "7 VMs: noRoom"} {
		c.Check(out, qt.Contains, want)
	}
	code, _, errors = runCommand("site", "explain", "--entry", follower, "--queue", "checks", path)
	c.Check(code, qt.Equals, 1)
	c.Check(errors, qt.Contains, "entry2 does")
	code, _, _ = runCommand("site", "explain", "--queue", "checks", path)
	c.Check(code, qt.Equals, 2)
}

// TestSiteExplainJob guards against a list of what an accepted job waits behind that is lost in
// the output, and against a file that is ignored.
func TestSiteExplainJob(t *testing.T) {
	c := qt.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.Method, qt.Equals, http.MethodGet)
		c.Check(r.URL.Query().Get("job"), qt.Equals, "00ff")
		_, _ = w.Write([]byte(`{"planner":"entry2","job":"00ff","phase":"queued","running":1,"ahead":[{"job":"00aa","step":2,"tasks":3,"gpus":24}],"aheadCount":4}`))
	}))
	c.Cleanup(s.Close)
	runCommand := func(args ...string) (int, string) {
		var out, errors bytes.Buffer
		code := Run(t.Context(), append([]string{"site", "explain", "--entry", strings.TrimPrefix(s.URL, "http://"), "--job", "00ff"}, args...), &out, &errors)
		return code, out.String() + errors.String()
	}
	code, out := runCommand()
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	c.Check(out, qt.Contains, "job 00ff: queued, tasks that run: 1\nunits that wait before it: 4\n")
	c.Check(out, qt.Contains, "  job 00aa step 2, tasks: 3, accelerators: 24\n")
	code, out = runCommand("job.json")
	c.Check(code, qt.Equals, 2)
	c.Check(out, qt.Contains, "--job alone")
}
