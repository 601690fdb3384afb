// Package stepplan decides which tasks of jobs of steps start and stop on
// which VMs. A Board holds what one planner knows: the jobs, the VMs as their
// agents reported them, and the runs in progress. Its methods take what
// happened and a time; Take returns what has to be stored and ordered.
//
// The rule behind all of it: a run is open from the moment that its record is
// about to be stored until its end is listed, its worker has started anew, an
// agent's complete report lacks it, or every lease that could keep it alive
// has lapsed. Only a task without an open run is started.
//
// The package does no input or output and uses no clock. A Board is not safe
// for concurrent use; the caller holds one lock around it.
package stepplan

import (
	"time"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/quarantine"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// Task is one task of one occurrence.
type Task struct {
	ID steps.TaskID
	// Run is the highest run that was ever ordered; it never falls.
	Run        int
	Done       bool
	Failures   int
	Checkpoint string

	// Active says that Run may be in progress on Agent, in the worker's life
	// Worker. The fields below it mean nothing otherwise.
	Active        bool
	Agent, Worker string
	// Running says that the run was seen or confirmed.
	Running bool
	// ConclusiveReport is the version of the first report that tells whether the run
	// exists; it is -1 while the order is on its way.
	ConclusiveReport int
	// StartedAt is when the run was ordered.
	StartedAt time.Time
	// Progress is in percent; ProgressAt is when it last rose.
	Progress   int
	ProgressAt time.Time
	// StopRequestedAt is when the newest stop was ordered; zero when none was.
	StopRequestedAt time.Time

	// needs is what the open run takes of its VM.
	needs steps.Resources

	// FailedOn are agents on which the task failed or was refused.
	FailedOn []string
	// NotBefore delays the next start.
	NotBefore time.Time
	// WaitSince is when the task last began to wait.
	WaitSince time.Time
}

// Step is a step of one occurrence.
type Step struct {
	Spec  *steps.Step
	Tasks []*Task
	// ActiveCount counts the tasks with an open run, Done those that are done.
	ActiveCount, DoneCount int
	// FailedRun is the newest run of a gang that was counted as failed.
	FailedRun int
}

// Job is a job that is not over, or whose runs have not all ended.
type Job struct {
	Spec  steps.Job
	Queue access.Queue
	// Phase is over once no task may start.
	Phase stepfold.Phase
	// Begun never falls back.
	Begun bool
	// Occurrences holds the steps of those that have begun and not ended.
	Occurrences map[int][]*Step
	// AddedAt is when the board took the job over; Began is when each
	// occurrence of a scheduled job began.
	AddedAt          time.Time
	OccurrenceStarts map[int]time.Time
	// NextOccurrence is the first that has not begun.
	NextOccurrence int
	EndedAt        time.Time
}

// VM is what the planner knows of an agent and its worker.
type VM struct {
	Agent string
	// Session is the planner's newest session with the agent; Attached says
	// that it is in use.
	Session  int
	Attached bool
	// Reported says that a report of the session has come. Before, the agent
	// may be paused, and nothing starts there.
	Reported bool
	// ReportedAt is when the newest report came.
	ReportedAt time.Time
	// LeaseUntil is when everything on the VM has ended unless a lease is
	// granted; see package lease.
	LeaseUntil time.Time
	// Worker is the life of the worker, empty when the agent knows none.
	Worker   string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity steps.Resources
	Draining bool
	// DrainDeadline is the least time until which a draining worker goes on.
	DrainDeadline time.Time
	// Leaving says that the agent is stopping.
	Leaving bool
	// Unhealthy says that the worker refuses orders until the time.
	UnhealthyUntil time.Time
	// ActiveTasks holds the tasks with an open run here.
	ActiveTasks map[steps.TaskID]*Task
	// UnknownRuns counts reported runs that the board does not know.
	UnknownRuns int
	// LastEndNumber is the number of the worker's newest end that was taken over.
	LastEndNumber int64
}

// Report is everything that an agent knows of its worker.
type Report struct {
	Agent   string
	Session int
	Version int
	// WorkerPresent is false while the agent knows of no worker; the fields below
	// mean nothing then.
	WorkerPresent bool
	Worker        string
	Service       string
	Zone          string
	Rack          string
	Labels        []string
	Capacity      steps.Resources
	Draining      bool
	RemainingMs   int
	Unhealthy     bool
	Leaving       bool
	Running       []RunningTask
	Ended         []worker.Ended
}

// RunningTask is a run in progress, or one that may be while Unsettled.
type RunningTask struct {
	worker.Running
	StartUnconfirmed bool
}

// Order is sealed: StartOrder, EndsStored.
type Order interface{ order() }

// Orders. Each is sent only after everything that Take returned with it is
// stored. A StopOrder needs nothing stored; see TakeStops.
type (
	// StartOrder starts a run.
	StartOrder struct {
		Agent, Worker string
		Session       int
		Task          steps.TaskID
		Run           int
		Payload       string
		Checkpoint    string
	}
	// StopOrder stops a run.
	StopOrder struct {
		Agent, Worker string
		Session       int
		Task          steps.TaskID
		Run           int
		Reason        string
	}
	// EndsAck lets the worker forget its ends.
	EndsAck struct {
		Agent, Worker string
		LastNumber    int64
	}
)

func (StartOrder) order() {}
func (EndsAck) order()    {}

// Event is one decision or one change of belief, for logs and the timeline.
type Event struct {
	// Kind names the decision in camel case.
	Kind string
	Job  string
	Task string
	Run  int
	VM   string
	// Reason holds the inputs that decided it.
	Reason string
}

// Output is what follows from what happened.
type Output struct {
	// Progress holds the newest progress of each job that changed.
	Progress []stepfold.Progressed
	// PrunedJobs are jobs whose records may be dropped.
	PrunedJobs []string
	Orders     []Order
	Events     []Event
}

// Timing holds the bounds that the platform states.
type Timing struct {
	// LeaseDuration is the length of a worker's lease.
	LeaseDuration time.Duration
	// KeepStatus is how long the phase of a job that is over stays known.
	KeepStatus time.Duration
	// MaxStopTime is the longest that a worker takes to stop a run.
	MaxStopTime time.Duration
	// MaxReclaimTime is the longest time in which what is owed to an organisation has
	// to start.
	MaxReclaimTime time.Duration
	// FarFactor is how much slower a task is away from its rack.
	FarFactor float64
}

// Scheduler is what one planner knows.
type Scheduler struct {
	Timing Timing
	Jobs   map[string]*Job
	// Cancelled holds cancellations of jobs that are not known, by when they
	// came: they can come before the acceptance.
	Cancelled map[string]time.Time
	VMs       map[string]*VM
	// Queues and Orgs are from the newest configuration. A queue that was
	// removed stays, for the jobs that it holds.
	Queues     map[string]access.Queue
	Orgs       map[string]access.Org
	Quarantine *quarantine.State

	// dirty holds the jobs whose progress is to be stored.
	dirty  map[string]bool
	output Output
	stops  []StopOrder
}

// Spans of quarantine: a fault of a worker lasts for seconds, and a probe costs
// one task.
const (
	quarantineFirst   = 4 * time.Second
	quarantineLongest = 30 * time.Second
)

// New returns an empty board.
func New(t Timing) *Scheduler {
	return &Scheduler{
		Timing: t, Jobs: map[string]*Job{}, Cancelled: map[string]time.Time{}, VMs: map[string]*VM{}, Queues: map[string]access.Queue{}, Orgs: map[string]access.Org{},
		Quarantine: quarantine.New(quarantine.WithDurations(quarantineFirst, quarantineLongest)), dirty: map[string]bool{},
	}
}
