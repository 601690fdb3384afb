package codec

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/stepplan"
	"celerypoint.example/celerypoint/steps"
)

// restore passes decoded progress of a job to a new planner's scheduler, and runs a pass.
func restore(p stepfold.Progress) {
	now := time.Unix(1000, 0)
	job := steps.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Steps: []steps.Step{{Count: 2}, {Count: 1, After: []int{0}}}, AcceptedAt: now}
	timed := job
	timed.ID, timed.OccurrenceCount, timed.StartAt, timed.Interval = "5c0e7a21d94b36f9", 2, now, time.Second
	sc := stepplan.New(stepplan.Timing{LeaseDuration: 10 * time.Second})
	sc.Configure(access.Config{Queues: []access.Queue{{Name: "q", MaxAttempts: 2}}})
	for _, j := range []steps.Job{job, timed} {
		sc.RestoreJob(stepfold.JobState{Job: &j, Progress: p}, now, now)
	}
	sc.Plan(now)
	sc.TakeOutput(now)
}

// TestOddProgressEndsNoPlanner guards against a stored record whose numbers name no task and
// that each entry that becomes the planner ends with.
func TestOddProgressEndsNoPlanner(t *testing.T) {
	for value, want := range map[string]string{
		`{"state":"running","steps":[{"occurrence":0,"step":-1,"ranges":[[0,1,1,-1]]}]}`:                        `steps\[0\].step: found -1, allowed: 0 to 255`,
		`{"state":"running","steps":[{"occurrence":0,"step":256,"ranges":[[0,1,1,-1]]}]}`:                       `steps\[0\].step: found 256, allowed: 0 to 255`,
		`{"state":"running","steps":[{"occurrence":-1,"step":0,"ranges":[[0,1,1,-1]]}]}`:                        `steps\[0\].occurrence: found -1, allowed: 0 to 99999`,
		`{"state":"running","steps":[{"occurrence":100000,"step":0,"ranges":[[0,1,1,-1]]}]}`:                    `steps\[0\].occurrence: found 100000, allowed: 0 to 99999`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"tasks":[{"index":-1,"run":1}]}]}`:                `steps\[0\].tasks\[0\].index: found -1, allowed: 0 to 16383`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"tasks":[{"index":0,"run":-1}]}]}`:                `steps\[0\].tasks\[0\].run: found -1, allowed: 0 to 2147483648`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"tasks":[{"index":0,"failures":-1}]}]}`:           `steps\[0\].tasks\[0\].failures: found -1, allowed: 0 to 2147483648`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[0,1,9223372036854775807,-1]]}]}`:       `steps\[0\].ranges\[0\]: run: found 9223372036854775807, allowed: 0 to 2147483648`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[0,1,1,-1,-7]]}]}`:                      `steps\[0\].ranges\[0\]: failures: found -7, allowed: 0 to 2147483648`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[0,1,1,-1,0,0,9223372036854775807]]}]}`: `steps\[0\].ranges\[0\]: cleared crashes: found 9223372036854775807, allowed: 0 to 2147483648`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[9223372036854775807,1,1,-1]]}]}`:       `steps\[0\].ranges\[0\]: found 1 tasks from 9223372036854775807 on, .*`,
		`{"state":"running","steps":[{"occurrence":0,"step":0,"ranges":[[0,-9223372036854775808,1,-1]]}]}`:      `steps\[0\].ranges\[0\]: found -9223372036854775808 tasks from 0 on, .*`,
		`{"state":"running","doneOccurrences":[[0]]}`:                                                           `doneOccurrences\[0\]: found 1 fields, allowed: 2`,
		`{"state":"running","doneOccurrences":[[-1,2]]}`:                                                        `doneOccurrences\[0\]: found 2 from -1 on, .*`,
		`{"state":"running","doneOccurrences":[[0,2],[1,1]]}`:                                                   `doneOccurrences\[1\]: found 1 from 1 on, allowed: at least 1, numbers from 2 to 99999`,
		`{"state":"running","doneOccurrences":[[0,0]]}`:                                                         `doneOccurrences\[0\]: found 0 from 0 on, .*`,
		`{"state":"running","doneOccurrences":[[9223372036854775807,1]]}`:                                       `doneOccurrences\[0\]: found 1 from 9223372036854775807 on, .*`,
		`{"state":"running","doneOccurrences":[[0,9223372036854775807]]}`:                                       `doneOccurrences\[0\]: found 9223372036854775807 from 0 on, .*`,
		`{"state":"running","doneOccurrences":[[0,1],[4,2]],"steps":[{"occurrence":5,"step":0,"ranges":[]}]}`:   `steps\[0\].occurrence: found 5, allowed: one that is not in doneOccurrences`,
		`{"state":"exploded"}`: `state: found "exploded", allowed: queued, running, completed, failed, cancelled`,
	} {
		t.Run(value, func(t *testing.T) {
			c := qt.New(t)
			record, err := DecodeStepRecord(recordlog.Record{Key: "advanced/x", Value: []byte(value)})
			c.Check(err, qt.ErrorMatches, `record "advanced/x": `+want)
			if err != nil {
				return
			}
			defer func() { c.Check(recover(), qt.IsNil) }()
			restore(record.(stepfold.Progressed).Progress)
		})
	}
}

// TestProgressOfTooManyTasks guards against a record of a few kilobytes that takes gigabytes
// of each entry's memory.
func TestProgressOfTooManyTasks(t *testing.T) {
	c := qt.New(t)
	decode := func(occurrences int) (int, error) {
		var all []string
		for i := range occurrences {
			all = append(all, fmt.Sprintf(`{"occurrence":%d,"step":0,"ranges":[[0,16384,1,-1]]}`, i))
		}
		value := `{"state":"running","steps":[` + strings.Join(all, ",") + `]}`
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := DecodeStepRecord(recordlog.Record{Key: "advanced/x", Value: []byte(value)})
		runtime.ReadMemStats(&after)
		return int(after.TotalAlloc-before.TotalAlloc) >> 20, err
	}
	size, err := decode(16)
	t.Logf("16 occurrences of 16384 tasks: %d MiB", size)
	c.Assert(err, qt.IsNil)
	size, err = decode(64)
	t.Logf("64 occurrences of 16384 tasks: %d MiB", size)
	c.Assert(err, qt.ErrorMatches, `.*: steps: found more than 262144 tasks, allowed: at most 262144`)
	c.Assert(size < 16, qt.IsTrue)
}

// TestOddAgentAndPlannerRecords guards against an agent's record that nobody can dial, and
// against a term after which no entry can claim another one.
func TestOddAgentAndPlannerRecords(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ key, value, want string }{
		{"agent/vm", `{"address":"10.1.0.20:70000","zone":"z"}`, `address: found "10.1.0.20:70000", allowed: an IP address and a port from 1 to 65535`},
		{"agent/vm", `{"address":"10.1.0.20:0","zone":"z"}`, `address: found .*`},
		{"agent/vm", `{"address":"","zone":"z"}`, `address: found "", .*`},
		{"agent/vm", `{"address":"` + strings.Repeat("1", 10_000) + `","zone":"z"}`, `address: found "1{64}", .*`},
		{"agent/", `{"address":"10.1.0.20:7000","zone":"z"}`, `key: found no name of an agent, allowed: one`},
		{"planner", `{"entry":"e","boot":"b","address":"a","term":9223372036854775807,"beat":1}`, `term: found 9223372036854775807, allowed: 1 to 9007199254740992`},
		{"planner", `{"entry":"e","boot":"b","address":"a","term":-1,"beat":1}`, `term: found -1, allowed: .*`},
		{"planner", `{"entry":"e","boot":"b","address":"a","term":1e30,"beat":1}`, `.*cannot unmarshal number 1e30 .*term.*`},
	} {
		_, err := DecodeStepRecord(recordlog.Record{Key: test.key, Value: []byte(test.value)})
		c.Check(err, qt.ErrorMatches, `record ".*": `+test.want)
	}
}

// TestOddQueuePolicy guards against a stored queue policy that makes a planner give up
// jobs at once or computes with times that overflow.
func TestOddQueuePolicy(t *testing.T) {
	for policy, want := range map[string]string{
		`{"service":"s","priority":-1,"maxAttempts":1,"latencyFactor":1,"latencyAllowanceMs":0}`:                 `priority: found -1, allowed: at least 0`,
		`{"service":"s","priority":0,"maxAttempts":0,"latencyFactor":1,"latencyAllowanceMs":0}`:                  `maxAttempts: found 0, allowed: at least 1`,
		`{"service":"s","priority":0,"maxAttempts":1,"latencyFactor":1e300,"latencyAllowanceMs":0}`:              `latencyFactor: found 1e\+300, allowed: 0 to 1000000`,
		`{"service":"s","priority":0,"maxAttempts":1,"latencyFactor":1,"latencyAllowanceMs":-1}`:                 `latencyAllowanceMs: found -1, allowed: 0 to 31536000000`,
		`{"service":"s","priority":0,"maxAttempts":1,"latencyFactor":1,"latencyAllowanceMs":999999999999999999}`: `latencyAllowanceMs: found 999999999999999999, allowed: 0 to 31536000000`,
	} {
		value := `{"queue":"q","org":"o","payload":"p","steps":[{"count":1}],"acceptedAtMs":1,"queuePolicy":` + policy + `}`
		_, err := DecodeStepRecord(recordlog.Record{Key: "accepted/5c0e7a21d94b36f8", Value: []byte(value)})
		qt.Check(t, err, qt.ErrorMatches, `record "accepted/5c0e7a21d94b36f8": queuePolicy.`+want)
	}
}
