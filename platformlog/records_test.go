package platformlog

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/gang"
	"celerypoint.example/celerypoint/guarantee"
	"celerypoint.example/celerypoint/job"
	"celerypoint.example/celerypoint/jobfold"
	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/outcome"
	"celerypoint.example/celerypoint/shape"
	"celerypoint.example/celerypoint/wire"
)

// stored returns a record with the body as a read from the log returns it.
func stored(t testing.TB, offset int, body any) wire.LogRecord {
	text, err := json.Marshal(body)
	qt.Assert(t, err, qt.IsNil)
	r := wire.LogRecord{Offset: offset, ID: fmt.Sprint("id", offset)}
	qt.Assert(t, json.Unmarshal(text, &r.Body), qt.IsNil)
	return r
}

// configRecords returns config records with each kind of change, including a conflict
// and deletions, and the state after them. The last record is a snapshot of it.
func configRecords() (records []configfold.Record, state configfold.State) {
	state = configfold.New()
	for i, c := range []configfold.Change{
		configfold.PutOrg{Org: org.Org{Name: "o", Labels: map[string]string{"k": "v"}, Guarantee: shape.Shape{VMs: 2, AcceleratorsPerVM: 4, Adjacency: shape.AdjacencyRack}, ShedRank: 3}},
		configfold.PutOrg{Org: org.Org{Name: "gone", Guarantee: shape.Shape{Adjacency: shape.AdjacencyRegion}}},
		configfold.DeleteOrg{Name: "gone"},
		configfold.PutLabels{VM: "a/b", Labels: map[string]string{"disk": "no"}},
		configfold.SetDrain{VM: "a/b", Draining: true},
		configfold.SetDrain{VM: "c"},
		configfold.PutAssignment{Assignment: guarantee.Assignment{Shares: map[string]map[string]int{"o": {"v": 4}}, Unmet: []string{"p"}}},
		configfold.DeleteOrg{Name: "never"},
	} {
		r := configfold.Record{ID: fmt.Sprint("id", i+1), BasedOn: state.Versions[configfold.ObjectOf(c)], Change: c}
		if i == 5 {
			r.BasedOn = 1
		}
		records = append(records, r)
		state.Apply(int64(i+1), r)
	}
	return append(records, configfold.Record{ID: "id9", Change: configfold.Snapshot{State: state.Clone()}}), state
}

// jobRecords returns records of the jobs stream, of each kind and with each kind of
// outcome, and the state after them. The last record is a snapshot of it.
func jobRecords() (records []jobfold.Record, state *jobfold.State) {
	now := time.UnixMilli(1_796_000_000_123)
	newJob := func(id string, idempotent bool) job.Job {
		j := job.Job{ID: id, Org: "o", Tasks: 2, AcceleratorsPerTask: 4, Adjacency: shape.AdjacencyVM, Urgency: job.UrgencyBatch, Idempotent: idempotent, DeclaredRun: time.Minute, AcceptedAt: now, Deadline: now.Add(time.Hour), Payload: []byte("payload")}
		if !idempotent {
			j.IdempotencyKey = "key"
		}
		return j
	}
	member := []gang.Member{{VM: "v", Tasks: 1, BootID: "b1"}, {VM: "w", Tasks: 1, FirstRank: 1}}
	part := outcome.Part{VM: "v", Attempt: "a2", Rank: 1, Length: 3, Checksum: 1 << 63}
	records = []jobfold.Record{
		jobfold.TermTaken{Region: "r", Entry: "e"},
		jobfold.Accepted{Job: newJob("j1", true), Region: "r"},
		jobfold.Accepted{Job: newJob("j2", false), Region: "r"},
		jobfold.Accepted{Job: newJob("j3", true), Region: "r"},
		jobfold.Accepted{Job: newJob("j4", true), Region: "r"},
		jobfold.Commit{JobID: "j1", Attempt: "a1", Term: 1, Members: member},
		jobfold.Abort{JobID: "j1", Attempt: "a1", Term: 1, Reason: "lost", CheckpointMs: 12, Crashed: true, Ran: 1500 * time.Millisecond},
		jobfold.Commit{JobID: "j1", Attempt: "a2", Term: 1, Members: member},
		jobfold.Abort{JobID: "j1", Attempt: "a2", Term: 1, Reason: "lost", UnansweredCrash: true},
		jobfold.Commit{JobID: "j1", Attempt: "a3", Term: 1, Members: member},
		jobfold.Commit{JobID: "j2", Attempt: "b1", Term: 1, Members: member},
		jobfold.Ended{JobID: "j2", Attempt: "b1", Term: 1, Outcome: outcome.Unknown{Reason: "lost"}},
		jobfold.Ended{JobID: "j3", Outcome: outcome.NotRun{Rule: "deadline", Reason: "late"}},
		jobfold.Commit{JobID: "j4", Attempt: "c1", Term: 1, Members: member},
		jobfold.Ended{JobID: "j4", Attempt: "c1", Outcome: outcome.Answer{Length: 6, Checksum: 1<<64 - 1, Parts: []outcome.Part{part, part}}},
		jobfold.CancelRequested{JobID: "j1"},
		jobfold.Ended{JobID: "j9", Outcome: outcome.Failed{Reason: "own error", Cancelled: true}},
	}
	state = jobfold.New()
	for i, r := range records {
		state.Apply(int64(i+1), r)
	}
	return append(records, jobfold.Snapshot{State: state.Clone()}), state
}

// TestRecordsRoundTrip guards against a field of a record or a snapshot that encoding and
// decoding lose.
func TestRecordsRoundTrip(t *testing.T) {
	configs, config := configRecords()
	for i, want := range configs {
		got, err := ParseConfig(stored(t, i+1, ConfigBody(want)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, want)
	}
	restored := configfold.New()
	restored.Apply(9, configs[8])
	qt.Assert(t, restored, qt.DeepEquals, config)

	records, jobs := jobRecords()
	for i, want := range records {
		got, err := ParseJob(stored(t, i+1, JobBody(want)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, want)
	}
	qt.Assert(t, jobs.Jobs, qt.HasLen, 4)
	qt.Assert(t, jobs.Claims, qt.HasLen, 1)
}

// TestParseRejects guards against accepting a record that two processes could apply
// differently from one another. It also guards against an error that does not name
// the record or, unless the body is not an object as in the last case, the field.
func TestParseRejects(t *testing.T) {
	tests := []struct{ stream, body, want string }{
		{StreamConfig, `{"kind":"putOrg","object":"org/o","basedOn":0}`, `org: found none`},
		{StreamConfig, `{"kind":"putOrg","object":"org/p","basedOn":0,"org":{"name":"o","guarantee":{"vms":0,"acceleratorsPerVM":0}}}`, `object: found "org/p", allowed: "org/o"`},
		{StreamConfig, `{"kind":"setDrain","object":"drain/","basedOn":0}`, `object: found "drain/"`},
		{StreamConfig, `{"kind":"setDrain","object":"drain/v","basedOn":-1}`, `basedOn: found -1`},
		{StreamConfig, `{"kind":"setDrain","object":"drain/v","basedOn":0,"drain":true}`, `unknown field "drain"`},
		{StreamConfig, `{"kind":"stop","object":"drain/v","basedOn":0}`, `kind: found "stop"`},
		{StreamConfig, `{"kind":"putAssignment","object":"assignment","basedOn":0,"assignment":{"shares":{"o":{"v":0}}}}`, `assignment.shares: found 0`},
		{StreamConfig, `{"kind":"snapshot","object":"snapshot","basedOn":0,"snapshot":{"through":3,"objects":[{"object":"vm/v","version":4}]}}`, `snapshot.objects: found "vm/v" with version 4`},
		{StreamJobs, `{"kind":"accepted","region":"r","job":{"id":"j","org":"o","tasks":0,"acceleratorsPerTask":1,"urgency":"batch","idempotent":true,"acceptedAtUnixMs":1}}`, `job.tasks: found 0`},
		{StreamJobs, `{"kind":"commit","jobId":"j"}`, `attempt: found none`},
		{StreamJobs, `{"kind":"commit","jobId":"j","attempt":"a","members":[{"vm":"v","tasks":0,"firstRank":0}]}`, `members\[0\]: found vm="v" tasks=0`},
		{StreamJobs, `{"kind":"ended","jobId":"j"}`, `outcome: found none`},
		{StreamJobs, `{"kind":"cancel"}`, `jobId: found none`},
		{StreamJobs, `{"kind":"snapshot","snapshot":{"through":1,"jobs":[],"terms":[],"part":3,"parts":2}}`, `snapshot.part: found 3 of 2`},
		{StreamJobs, `7`, `.*cannot unmarshal number`},
	}
	for _, tt := range tests {
		t.Run(tt.body, func(t *testing.T) {
			r := stored(t, 17, json.RawMessage(tt.body))
			var err error
			if tt.stream == StreamConfig {
				_, err = ParseConfig(r)
			} else {
				_, err = ParseJob(r)
			}
			qt.Assert(t, err, qt.ErrorMatches, `log stream `+tt.stream+`: offset 17: record "id17": .*`+tt.want+`.*`)
		})
	}
}

// fuzzParse calls reencode with fuzzed bodies, starting from the seeds. reencode decodes
// a record, applies it to a new state, and returns the body encoded again. Its errors
// must name the stream and the offset, and a body that it returned must stay the same
// when it is passed to reencode again.
func fuzzParse(f *testing.F, stream string, seeds []any, reencode func(r wire.LogRecord) (any, error)) {
	for _, body := range seeds {
		text, err := json.Marshal(body)
		qt.Assert(f, err, qt.IsNil)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := wire.LogRecord{Offset: 5, ID: "id"}
		if json.Unmarshal(text, &r.Body) != nil {
			return
		}
		once, err := reencode(r)
		if err != nil {
			qt.Assert(t, strings.HasPrefix(err.Error(), "log stream "+stream+": offset 5: "), qt.IsTrue)
			return
		}
		twice, err := reencode(stored(t, 5, once))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, twice, qt.DeepEquals, once)
	})
}

// FuzzParseConfig guards against a record that makes every process panic, and against
// one that changes when it is encoded and decoded again.
func FuzzParseConfig(f *testing.F) {
	var seeds []any
	records, _ := configRecords()
	for _, r := range records {
		seeds = append(seeds, ConfigBody(r))
	}
	fuzzParse(f, StreamConfig, seeds, func(r wire.LogRecord) (any, error) {
		c, err := ParseConfig(r)
		s := configfold.New()
		if err == nil {
			s.Apply(5, c)
		}
		return ConfigBody(c), err
	})
}

// FuzzParseJob does the same as FuzzParseConfig for the jobs stream.
func FuzzParseJob(f *testing.F) {
	var seeds []any
	records, _ := jobRecords()
	for _, r := range records {
		seeds = append(seeds, JobBody(r))
	}
	fuzzParse(f, StreamJobs, seeds, func(r wire.LogRecord) (any, error) {
		j, err := ParseJob(r)
		if err == nil {
			jobfold.New().Apply(5, j)
		}
		return JobBody(j), err
	})
}
