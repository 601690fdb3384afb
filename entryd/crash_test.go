package entryd

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/standinruntime"
	"celerypoint.example/celerypoint/wire"
)

// maxCrashingStarts is the largest number of starts of a job that crashes the runtime of
// each VM that starts it, as on the users' platform.
const maxCrashingStarts = 5

// TestJobThatCrashesRuntimesIsGivenUp guards against a job that is started without limit
// although it crashes the runtime of each VM that starts it.
func TestJobThatCrashesRuntimesIsGivenUp(t *testing.T) {
	for _, urgency := range []job.Urgency{job.UrgencyNormal, job.UrgencyUrgent} {
		t.Run(string(urgency), func(t *testing.T) {
			s := startCluster(t, 1, 6)
			s.putOrg("paint", shape.Shape{})
			v, err := s.entries[0].Submit(s.context(), job.Job{
				Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: urgency, Idempotent: true, Deadline: time.Now().Add(time.Minute), Payload: []byte(`{"runMs":60000}`),
			})
			qt.Assert(t, err, qt.IsNil)
			starts := 0
			var end outcome.Outcome
			s.waitFor("the job ends", func() bool {
				starts += s.crashRuntimes(v.ID)
				if starts > maxCrashingStarts {
					t.Fatalf("the job was started %d times", starts)
				}
				view, found, err := s.entries[0].Job(s.context(), v.ID)
				end = view.Outcome
				return err == nil && found && end != nil
			})
			failed, ok := end.(outcome.Failed)
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", end))
			qt.Assert(t, failed.Reason, qt.Matches, "taskCrashesWorkers: .*")
		})
	}
}

// crashRuntimes restarts the runtimes that have started the job, and returns their number.
func (s *cluster) crashRuntimes(jobID string) int {
	crashed := 0
	for i, r := range s.runtimes {
		started := false
		for _, record := range r.Records() {
			started = started || record.Job == jobID && record.Kind == wire.RuntimeRecordKindStarted
		}
		if !started {
			continue
		}
		crashed++
		r.Close()
		time.Sleep(50 * time.Millisecond)
		next, err := standinruntime.New(standinruntime.Config{Listen: r.Address(), VM: fmt.Sprintf("v%d", i+1), Accelerators: 8})
		qt.Assert(s.t, err, qt.IsNil)
		s.t.Cleanup(next.Close)
		s.runtimes[i] = next
	}
	return crashed
}

// crashingRuntime restarts without a reply with each start of a task.
type crashingRuntime struct {
	t      *testing.T
	vm     string
	starts atomic.Int64

	mu      sync.Mutex
	runtime *standinruntime.Runtime
}

func (r *crashingRuntime) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runtime != nil {
		r.runtime.Close()
	}
	next, err := standinruntime.New(standinruntime.Config{Listen: "127.0.0.1:0", VM: r.vm, Accelerators: 8})
	qt.Assert(r.t, err, qt.IsNil)
	r.t.Cleanup(next.Close)
	r.runtime = next
}

func (r *crashingRuntime) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPost && request.URL.Path == "/tasks" {
		r.starts.Add(1)
		r.restart()
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	target := url.URL{Scheme: "http", Host: r.runtime.Address()}
	r.mu.Unlock()
	proxy := httputil.NewSingleHostReverseProxy(&target)
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	proxy.ServeHTTP(w, request)
}

// TestUnansweredStartsAreLimited guards against starting a job again without limit.
func TestUnansweredStartsAreLimited(t *testing.T) {
	s := startCluster(t, 1, 0)
	var runtimes []*crashingRuntime
	for i := range 3 {
		r := &crashingRuntime{t: t, vm: fmt.Sprintf("v%d", i+1)}
		r.restart()
		server := httptest.NewServer(r)
		t.Cleanup(server.Close)
		runtimes = append(runtimes, r)
		s.addAgentOf(r.vm, "r1", server.URL)
	}
	s.putOrg("paint", shape.Shape{})
	v, err := s.entries[0].Submit(s.context(), job.Job{
		Org: "paint", Tasks: 1, AcceleratorsPerTask: 1, Urgency: job.UrgencyNormal, Idempotent: true, Deadline: time.Now().Add(time.Minute), Payload: []byte(`{"runMs":60000}`),
	})
	qt.Assert(t, err, qt.IsNil)
	// The next start waits until the lease of an unanswered one has expired, and its agent has
	// reported the crash.
	c := DefaultConfig()
	s.waitWithin(maxCrashingStarts*(c.GangLease+c.ConfirmEvery), "the job is given up", func() bool {
		starts := int64(0)
		for _, r := range runtimes {
			starts += r.starts.Load()
		}
		if starts > maxCrashingStarts {
			t.Fatalf("the job was started %d times", starts)
		}
		view, found, err := s.entries[0].Job(s.context(), v.ID)
		if err != nil || !found || view.Outcome == nil {
			return false
		}
		failed, isFailed := view.Outcome.(outcome.Failed)
		qt.Assert(t, isFailed && strings.HasPrefix(failed.Reason, crashes.Rule), qt.IsTrue, qt.Commentf("%+v", view.Outcome))
		return true
	})
}
