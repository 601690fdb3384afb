// Package job holds a job as a caller submits it: one task, or a gang of
// tasks that run together or not at all. It owns no state and takes no lock.
package job

import (
	"fmt"
	"time"

	"celerypoint.example/celerypoint/selector"
	"celerypoint.example/celerypoint/shape"
)

// Urgency is the lane that a job waits in.
type Urgency string

// The urgencies. Urgent work is to start within 1.4 s.
const (
	UrgencyUrgent Urgency = "urgent"
	UrgencyNormal Urgency = "normal"
	UrgencyBatch  Urgency = "batch"
)

// ParseUrgency checks an urgency. The empty text means UrgencyNormal.
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

// MaxTasks bounds the size of a gang.
const MaxTasks = 512

// MaxPayloadBytes bounds a payload, so that a log record and a frame hold it.
const MaxPayloadBytes = 256 << 10

// Job is one request for work.
type Job struct {
	// ID is unique over all entries and never reused.
	ID string
	// Org names the organisation that the job belongs to.
	Org string
	// Labels are matched by the selectors of operators.
	Labels map[string]string
	// Selector says which VMs the job may use. The empty selector matches
	// every VM.
	Selector string
	// Tasks is the number of tasks, 1 to MaxTasks. All of them run, or none.
	Tasks int
	// AcceleratorsPerTask is the number of accelerators that each task holds
	// on one VM, at least 0. A task with 0 needs a slot only.
	AcceleratorsPerTask int
	// Adjacency bounds how far apart the tasks may be.
	Adjacency shape.Adjacency
	// Urgency is the lane.
	Urgency Urgency
	// Deadline is when the caller stops wanting the answer; zero means never.
	Deadline time.Time
	// Idempotent says that running the job twice does no harm. Work that is
	// not idempotent has an IdempotencyKey and is started at most once.
	Idempotent bool
	// IdempotencyKey names the request within its organisation. Two requests
	// with one key are one job.
	IdempotencyKey string
	// Preemptible says that the job may be checkpointed or stopped and started
	// again. Only preemptible work borrows accelerators owed to others. A
	// preemptible job is idempotent.
	Preemptible bool
	// DeclaredRun is the run time that the caller declares; it is a size of
	// the work and often far off. Zero means that none was declared.
	DeclaredRun time.Duration
	// Payload goes to each task as it is.
	Payload []byte
	// AcceptedAt is when an entry accepted the job.
	AcceptedAt time.Time
}

// IsGang reports whether the job has several tasks.
func (j Job) IsGang() bool { return j.Tasks > 1 }

// Accelerators is the sum over the tasks.
func (j Job) Accelerators() int { return j.Tasks * j.AcceleratorsPerTask }

// Recorded reports whether the job is accepted through the platform's log.
// Only a single idempotent task that is urgent does without: its caller can
// send it again.
func (j Job) Recorded() bool {
	return j.IsGang() || !j.Idempotent || j.Urgency != UrgencyUrgent
}

// Check reports which field is wrong, or nil.
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
