package steps

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const validID = "5c0e7a21d94b36f8"

// Guards against accepting a job that no planner can run, and against an error
// that does not name the invalid field.
func TestCheck(t *testing.T) {
	valid := Job{ID: validID, Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}}
	for _, test := range []struct {
		name   string
		change func(*Job)
		want   string
	}{
		{"valid", func(*Job) {}, ""},
		{"short id", func(j *Job) { j.ID = "5c0e" }, `id: found "5c0e", allowed: 16 hexadecimal digits`},
		{"id with a dot", func(j *Job) { j.ID = "5c0e7a21d94b36.8" }, `id: found .*`},
		{"no steps", func(j *Job) { j.Steps = nil }, `steps: found 0, allowed: 1 to 256`},
		{"no tasks", func(j *Job) { j.Steps = []Step{{}} }, `steps\[0\].count: found 0, allowed: at least 1`},
		{"a step that depends on itself", func(j *Job) { j.Steps = []Step{{Count: 1, After: []int{0}}} }, `steps\[0\].after: found 0, allowed: the number of an earlier step`},
		{"too many tasks", func(j *Job) { j.Steps = []Step{{Count: MaxTasks + 1}} }, `steps: found 16385 tasks, allowed: at most 16384`},
		{"a negative amount", func(j *Job) { j.Steps = []Step{{Count: 1, Needs: Resources{GPUs: -1}}} }, `steps\[0\].needs: .*`},
		{"a large payload", func(j *Job) { j.Payload = strings.Repeat("a", MaxPayloadBytes+1) }, `payload: found 4001 bytes, allowed: at most 4000`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			j := valid
			j.Steps = append([]Step(nil), valid.Steps...)
			test.change(&j)
			if test.want == "" {
				c.Assert(j.Check(), qt.IsNil)
				return
			}
			c.Assert(j.Check(), qt.ErrorMatches, test.want)
		})
	}
}

// TestCheckTaskCountOverflow guards against a job whose counts add up to a small number only
// because the sum overflows: each entry that becomes the planner ends with it.
func TestCheckTaskCountOverflow(t *testing.T) {
	c := qt.New(t)
	j := Job{ID: validID, Steps: []Step{{Count: math.MaxInt}, {Count: math.MaxInt}, {Count: 3}}}
	c.Check(j.Check(), qt.ErrorMatches, `steps: found 9223372036854775807 tasks, allowed: at most 16384`)
	j.Steps = []Step{{Count: 1}, {Count: math.MaxInt}}
	c.Check(j.Check(), qt.ErrorMatches, `steps: found 9223372036854775808 tasks, allowed: at most 16384`)
}

// TestCheckTotalTasks guards against a job that is due often at once and takes the memory of
// each entry that becomes the planner, which keeps the tasks of all its occurrences.
func TestCheckTotalTasks(t *testing.T) {
	c := qt.New(t)
	j := Job{ID: validID, OccurrenceCount: MaxOccurrences, Steps: []Step{{Count: MaxTasks}}}
	c.Check(j.Check(), qt.ErrorMatches, `times: found 100000 of 16384 tasks each, allowed: at most 262144 tasks in all`)
	j.OccurrenceCount = 16
	c.Check(j.Check(), qt.IsNil)
	j = Job{ID: validID, OccurrenceCount: MaxOccurrences, Steps: []Step{{Count: 2}}}
	c.Check(j.Check(), qt.IsNil)
}

// Guards against two task IDs with the same name: the name of each parsed ID has to
// parse to the same ID again.
func FuzzParseTaskID(f *testing.F) {
	for _, text := range []string{validID + ".0.1.17", "a.0.0", "", "a.-1.0.0", "a.0.0.0.0", "....", "a.x.0.0"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseTaskID(text)
		if err != nil {
			return
		}
		reparsed, err := ParseTaskID(id.String())
		if err != nil || reparsed != id {
			t.Fatalf("%q is read as %+v, which is written as %q", text, id, id.String())
		}
	})
}
