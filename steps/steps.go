// Package steps holds jobs that consist of steps of equal tasks, as callers
// submit them and as planners and agents name their parts. It owns no state
// and takes no lock.
package steps

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources are what a task takes of a VM, or what a VM has.
type Resources struct {
	// CPU is in thousandths of a core, MemMB in MiB. None is negative.
	CPU, MemMB, GPUs int
}

// Plus adds two amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPUs + o.GPUs}
}

// Minus subtracts an amount.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPUs - o.GPUs}
}

// Holds reports whether the other amount fits.
func (r Resources) Holds(o Resources) bool {
	return o.CPU <= r.CPU && o.MemMB <= r.MemMB && o.GPUs <= r.GPUs
}

// Step is a number of equal tasks.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count int
	// Needs is what each task takes. With Fills its CPU is not counted.
	Needs Resources
	// Estimate is the caller's rough run time of a task; zero means none.
	Estimate time.Duration
	// After are earlier steps, all of whose tasks have to be done first.
	After []int
	// Checkpointing says that a later run resumes from a checkpoint.
	Checkpointing bool
	// Gang says that the tasks run together or not at all.
	Gang bool
	// SameRack says that the tasks are slower on more than one rack.
	SameRack bool
	// Label has to be among the VM's labels unless it is empty.
	Label string
	// PreferredRack is where the data lies; tasks elsewhere are slower.
	PreferredRack string
	// MaxPerVM bounds the tasks of one occurrence on one VM; 0 means no bound.
	MaxPerVM int
	// Speculative says that copies of a task may run at the same time.
	Speculative bool
	// LongRunning says that tasks run until the job is cancelled.
	LongRunning bool
	// Image names what the tasks run; equal images behave alike.
	Image string
	// TailLatencyMs bounds the tail latency that a serving task owes its users.
	TailLatencyMs int
	// BestEffortCPU says that the tasks use the CPU that others leave.
	BestEffortCPU bool
	// MaxUnavailable bounds the tasks that the system may take away at once.
	MaxUnavailable int
}

// Job is a job of steps as an entry accepted it.
type Job struct {
	// ID is chosen by the caller and names one job for good.
	ID string
	// Queue names the queue that the job was handed in at.
	Queue string
	// Org is the organisation of the caller's key; empty on a public queue.
	Org string
	// Payload goes to each task as it is.
	Payload string
	Steps   []Step
	// StartAt, Interval and Times schedule occurrences on the time of day.
	// Times is 0 for a job that runs once, at once.
	StartAt         time.Time
	Interval        time.Duration
	OccurrenceCount int
	// AcceptedAt is on the time of day of the entry that accepted the job.
	AcceptedAt time.Time
}

// Bounds of a job's size. A record of the platform's store holds 256 KiB.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 256
	MaxTasks        = 16384
	// MaxOccurrences bounds the schedule of one job.
	MaxOccurrences = 100_000
)

// Check reports which field is wrong, or nil.
func (j Job) Check() error {
	if len(j.ID) != 16 || strings.Trim(j.ID, "0123456789abcdefABCDEF") != "" {
		return fmt.Errorf("id: found %q, allowed: 16 hexadecimal digits", j.ID)
	}
	if len(j.Payload) > MaxPayloadBytes {
		return fmt.Errorf("payload: found %d bytes, allowed: at most %d", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) < 1 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("steps: found %d, allowed: 1 to %d", len(j.Steps), MaxSteps)
	}
	if j.OccurrenceCount < 0 || j.OccurrenceCount > MaxOccurrences {
		return fmt.Errorf("times: found %d, allowed: 0 to %d", j.OccurrenceCount, MaxOccurrences)
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return fmt.Errorf("steps[%d].%w", i, err)
		}
		tasks += s.Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("steps: found %d tasks, allowed: at most %d", tasks, MaxTasks)
	}
	return nil
}

func (s Step) check(position int) error {
	if s.Count < 1 {
		return fmt.Errorf("count: found %d, allowed: at least 1", s.Count)
	}
	if s.Needs.CPU < 0 || s.Needs.MemMB < 0 || s.Needs.GPUs < 0 {
		return fmt.Errorf("needs: found %+v, allowed: no negative amount", s.Needs)
	}
	for _, a := range s.After {
		if a < 0 || a >= position {
			return fmt.Errorf("after: found %d, allowed: the number of an earlier step", a)
		}
	}
	return nil
}

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String is the task's name: the job, the occurrence, the step and the index.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads what String writes.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) == 4 && parts[0] != "" {
		var n [3]int
		valid := true
		for i := range n {
			v, err := strconv.Atoi(parts[i+1])
			n[i], valid = v, valid && err == nil && v >= 0
		}
		if valid {
			return TaskID{parts[0], n[0], n[1], n[2]}, nil
		}
	}
	return TaskID{}, fmt.Errorf("task: found %q, allowed: JOB.OCCURRENCE.STEP.INDEX", text)
}
