// Package steps defines jobs that consist of steps, and steps that consist of
// identical tasks: the job as callers submit it, and the task IDs that planners
// and agents use. A planner is the process that decides which tasks start on which
// VMs. The package owns no state and takes no lock.
package steps

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources are the resources that a task needs, or that a VM has.
type Resources struct {
	// CPU is in thousandths of a core, MemMB in MiB; GPUs counts accelerators. No
	// amount is negative in a task's needs or a VM's capacity.
	CPU, MemMB, GPUs int
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPUs + o.GPUs}
}

// Minus returns the difference of r and o, whose amounts can be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPUs - o.GPUs}
}

// Holds reports whether r is at least o in every resource.
func (r Resources) Holds(o Resources) bool {
	return o.CPU <= r.CPU && o.MemMB <= r.MemMB && o.GPUs <= r.GPUs
}

// Step is a number of identical tasks of a job. The planner does not consider
// Speculative in its decisions.
type Step struct {
	// Count is the number of tasks, at least 1.
	Count int
	// Needs is what each task needs. With BestEffortCPU its CPU does not count
	// against the capacity of a VM.
	Needs Resources
	// Estimate is the caller's rough estimate of a task's run time, zero if there
	// is none.
	Estimate time.Duration
	// After holds the indexes of earlier steps in Job.Steps. All their tasks have
	// to succeed before a task of this step starts.
	After []int
	// Checkpointing says that the tasks make checkpoints. A task may be executed
	// several times, for example after a failure, and each execution then resumes
	// from the last checkpoint of the earlier ones.
	Checkpointing bool
	// Gang says that the tasks have to run at the same time: either all of them
	// run, or none does.
	Gang bool
	// SameRack says that the tasks are slower if they run on more than one rack.
	SameRack bool
	// Label is a label that the VM must have. Empty means any VM.
	Label string
	// PreferredRack is the rack that stores the tasks' data. Tasks are slower on other
	// racks. Empty means no preference.
	PreferredRack string
	// MaxPerVM limits how many of the step's tasks in one occurrence of the job run
	// on one VM at the same time; 0 means no limit.
	MaxPerVM int
	// Speculative says that several copies of a task may run at the same time.
	Speculative bool
	// LongRunning says that the tasks run until the job is cancelled. A task that
	// ends before is started again.
	LongRunning bool
	// Image names the image that the tasks run. Tasks with the same image behave
	// alike.
	Image string
	// TailLatencyMs is the maximum tail latency, in milliseconds, for the users of
	// a task that serves requests; 0 means no maximum.
	TailLatencyMs int
	// BestEffortCPU says that the tasks use only CPU time that other tasks leave
	// idle.
	BestEffortCPU bool
	// MaxUnavailable limits how many tasks of a LongRunning step may be unavailable at
	// the same time when the system stops one; 0 means no limit.
	MaxUnavailable int
}

// QueuePolicy is the part of an access.Queue that planners use. See there for the
// meaning of the fields.
type QueuePolicy struct {
	Service string
	// Priority is not negative, and MaxAttempts is at least 1.
	Priority, MaxAttempts int
	LatencyFactor         float64
	LatencyAllowance      time.Duration
}

// Job is a job as it was accepted from a caller. An occurrence is one execution of
// all its steps.
type Job struct {
	// ID is chosen by the caller. It is never used again for another job.
	ID string
	// Queue is the Name of an access.Queue.
	Queue string
	// QueuePolicy is that of the queue when the job was accepted. It applies while the
	// configuration has no such queue. It is nil for jobs that an earlier version of the
	// program accepted.
	QueuePolicy *QueuePolicy
	// Org is the name of the organisation that the caller's key belongs to; empty
	// on a public queue, which needs no key.
	Org string
	// Payload is passed unchanged to each task.
	Payload string
	Steps   []Step
	// StartAt is the wall-clock time from which on the first of OccurrenceCount
	// occurrences may begin; the others follow at the given Interval, whether or not
	// the earlier ones have ended. OccurrenceCount is 0 for a job with a single
	// occurrence that may begin at once.
	StartAt         time.Time
	Interval        time.Duration
	OccurrenceCount int
	// AcceptedAt is when the job was accepted, on the wall clock of the entry
	// process that accepted it.
	AcceptedAt time.Time
}

// Limits on the size of a job. The job and its progress are each stored as one
// record, and a record in the platform's store holds at most 256 KiB.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 256
	MaxTasks        = 16384
	// MaxOccurrences limits Job.OccurrenceCount.
	MaxOccurrences = 100_000
	// MaxTotalTasks limits the tasks of all occurrences of a job. Entries keep the state
	// of each.
	MaxTotalTasks = 16 * MaxTasks
)

// CheckID returns an error unless id has the form of a job's ID.
func CheckID(id string) error {
	if len(id) != 16 || strings.Trim(id, "0123456789abcdefABCDEF") != "" {
		return fmt.Errorf("id: found %.64q, allowed: 16 hexadecimal digits", id)
	}
	return nil
}

// Check checks the ID, the sizes that the constants above limit, and the Count,
// Needs and After of each step. It returns an error that names the first invalid
// field that it finds, or nil. Errors call OccurrenceCount times, as requests do.
func (j Job) Check() error {
	if err := CheckID(j.ID); err != nil {
		return err
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
		if s.Count > MaxTasks-tasks {
			// The sum may exceed an int.
			return fmt.Errorf("steps: found %d tasks, allowed: at most %d", uint64(tasks)+uint64(s.Count), MaxTasks)
		}
		tasks += s.Count
	}
	if tasks*j.OccurrenceCount > MaxTotalTasks {
		return fmt.Errorf("times: found %d of %d tasks each, allowed: at most %d tasks in all", j.OccurrenceCount, tasks, MaxTotalTasks)
	}
	return nil
}

func (s Step) check(index int) error {
	if s.Count < 1 {
		return fmt.Errorf("count: found %d, allowed: at least 1", s.Count)
	}
	if s.Needs.CPU < 0 || s.Needs.MemMB < 0 || s.Needs.GPUs < 0 {
		return fmt.Errorf("needs: found %+v, allowed: no negative amount", s.Needs)
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return fmt.Errorf("after: found %d, allowed: the number of an earlier step", a)
		}
	}
	return nil
}

// TaskID identifies one task of one occurrence of a job. The numbers of
// occurrences, steps and tasks begin with 0.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the task's name in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses a task's name in the form that TaskID.String returns.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) == 4 && parts[0] != "" {
		var numbers [3]int
		valid := true
		for i := range numbers {
			number, err := strconv.Atoi(parts[i+1])
			numbers[i], valid = number, valid && err == nil && number >= 0
		}
		if valid {
			return TaskID{parts[0], numbers[0], numbers[1], numbers[2]}, nil
		}
	}
	return TaskID{}, fmt.Errorf("task: found %q, allowed: JOB.OCCURRENCE.STEP.INDEX", text)
}
