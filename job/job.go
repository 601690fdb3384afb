// Package job defines a job as a caller submits it: one task, or a gang of tasks that
// run at the same time or not at all. It owns no state and takes no lock.
package job

import (
	"fmt"
	"time"

	"celerypoint.example/celerypoint/selector"
	"celerypoint.example/celerypoint/shape"
)

// Urgency determines the queue in which a job waits and how soon it should start.
type Urgency string

// The urgencies. An urgent job should start within 1.4 s.
const (
	UrgencyUrgent Urgency = "urgent"
	UrgencyNormal Urgency = "normal"
	UrgencyBatch  Urgency = "batch"
)

// ParseUrgency converts text to an urgency. An empty text means UrgencyNormal.
func ParseUrgency(text string) (Urgency, error) {
	switch u := Urgency(text); u {
	case "":
		return UrgencyNormal, nil
	case UrgencyUrgent, UrgencyNormal, UrgencyBatch:
		return u, nil
	default:
		return "", fmt.Errorf("urgency: found %q, allowed: urgent, normal, batch", text)
	}
}

// MaxTasks is the maximum number of tasks in a job.
const MaxTasks = 512

// MaxPayloadBytes is the maximum size of a payload, so that it fits into a log record and
// into an RPC frame.
const MaxPayloadBytes = 256 << 10

// Job is one request for work.
type Job struct {
	// ID is unique among the jobs of all entry processes and never reused.
	ID string
	// Org is the name of the organisation that the job belongs to.
	Org string
	// Labels are matched by the selectors of operators.
	Labels map[string]string
	// Selector selects the VMs that the job may use. The empty selector matches
	// every VM.
	Selector string
	// Tasks is the number of tasks, 1 to MaxTasks. Either all of them run or none.
	Tasks int
	// AcceleratorsPerTask is the number of accelerators that each task uses on
	// its VM, at least 0. A task with 0 needs only a task slot of the VM.
	AcceleratorsPerTask int
	// Adjacency limits how far apart the VMs of the tasks may be.
	Adjacency shape.Adjacency
	// Urgency determines the queue of the job.
	Urgency Urgency
	// Deadline is the time after which the caller no longer needs the answer. Zero
	// means that there is none.
	Deadline time.Time
	// Idempotent is true if running the job twice does no harm. A job that is not
	// idempotent has an IdempotencyKey and is started at most once.
	Idempotent bool
	// IdempotencyKey identifies the request within its organisation. Two requests
	// with the same key are the same job.
	IdempotencyKey string
	// Preemptible is true if the job may be checkpointed or stopped, and started
	// again. Only preemptible jobs borrow accelerators that are guaranteed to other
	// organisations. A preemptible job must be idempotent.
	Preemptible bool
	// DeclaredRun is the run time that the caller declares. It is a measure of the
	// size of the work, and is often far from the actual run time. Zero means that
	// none was declared.
	DeclaredRun time.Duration
	// Payload is passed to each task unchanged.
	Payload []byte
	// AcceptedAt is when an entry process accepted the job.
	AcceptedAt time.Time
}

// IsGang reports whether the job has more than one task.
func (j Job) IsGang() bool { return j.Tasks > 1 }

// Accelerators returns the number of accelerators of all tasks.
func (j Job) Accelerators() int { return j.Tasks * j.AcceleratorsPerTask }

// Recorded reports whether the job's acceptance is recorded in the platform's log. The
// only jobs that are not recorded are urgent idempotent jobs with a single task: if one
// is lost, its caller can send it again.
func (j Job) Recorded() bool {
	return j.IsGang() || !j.Idempotent || j.Urgency != UrgencyUrgent
}

// Check returns an error that names the first invalid field, or nil if there is none.
func (j Job) Check() error {
	if j.Org == "" {
		return fmt.Errorf("org: found an empty name, allowed: the name of an organisation")
	}
	if j.Tasks < 1 || j.Tasks > MaxTasks {
		return fmt.Errorf("tasks: found %d, allowed: 1 to %d", j.Tasks, MaxTasks)
	}
	if j.AcceleratorsPerTask < 0 {
		return fmt.Errorf("acceleratorsPerTask: found %d, allowed: at least 0", j.AcceleratorsPerTask)
	}
	if _, err := selector.Parse(j.Selector); err != nil {
		return err
	}
	if _, err := shape.ParseAdjacency(string(j.Adjacency)); err != nil {
		return err
	}
	if _, err := ParseUrgency(string(j.Urgency)); err != nil {
		return err
	}
	if !j.Idempotent && j.IdempotencyKey == "" {
		return fmt.Errorf("idempotencyKey: found none, allowed: any text, required when idempotent is false")
	}
	if !j.Idempotent && j.Preemptible {
		return fmt.Errorf("preemptible: found true, allowed: false when idempotent is false, because a stopped job starts again")
	}
	if len(j.Payload) > MaxPayloadBytes {
		return fmt.Errorf("payload: found %d bytes, allowed: at most %d", len(j.Payload), MaxPayloadBytes)
	}
	return nil
}
