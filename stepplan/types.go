// Package stepplan decides which tasks of multi-step jobs start and stop on
// which VMs. A Scheduler holds the state of one planner: the jobs, the VMs as
// their agents last reported them, and the active runs. Its methods take an
// event and the current time. TakeOutput returns the progress of jobs to store
// and the orders to send once it is stored; TakeStops returns the orders that
// stop runs, which can be sent at once.
//
// An occurrence is one execution of all steps of a job. A job without a schedule
// has only occurrence 0, which begins when the job is added.
//
// A run is one execution of a task. It is active, which means that it may be
// executing on a VM, from just before its record is stored until one of these
// is true: its start order is refused or will not be sent, the agent reports its
// end or that of its worker's incarnation, the worker reports itself as another
// incarnation and does not list it, a report that would list it does not (see
// Task.ConclusiveReport), or every lease that could keep it running has expired. A
// worker that does not answer is no such sign, however its calls fail. A task is started only if it has no active run.
//
// GPUs in a name means accelerators of any kind; see steps.Resources.
//
// Parameters named now are readings of the caller's boot-time clock, see package
// boottime, and those named wall are wall-clock times.
//
// The package does no input or output and reads no clock. A Scheduler is not
// safe for concurrent use and takes no lock; the caller serializes all calls
// with one lock.
package stepplan

import (
	"time"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/crashes"
	"celerypoint.example/celerypoint/interference"
	"celerypoint.example/celerypoint/pace"
	"celerypoint.example/celerypoint/quarantine"
	"celerypoint.example/celerypoint/stepfold"
	"celerypoint.example/celerypoint/steps"
	"celerypoint.example/celerypoint/worker"
)

// Task is one task of one occurrence of a job.
type Task struct {
	ID steps.TaskID
	// Run is the highest run number for which a start order was issued. It never
	// decreases.
	Run        int
	Done       bool
	Failures   int
	Checkpoint string

	// Active says that Run may be executing on Agent, in the worker incarnation
	// with the ID Worker. An incarnation is a worker from one start of its process
	// to the next. While Active is false, the fields from Agent to needs have no
	// meaning.
	Active        bool
	Agent, Worker string
	// Running says that the agent confirmed the start or listed the run as
	// started in a report. It is also set when an active run is restored.
	Running bool
	// ConclusiveReport is the lowest Report.Version that shows reliably whether
	// the run exists. It is -1, so that no report does, until the agent answers
	// the start order or a new session with the agent begins. For a restored run
	// it is 0 from the beginning.
	ConclusiveReport int
	// StartedAt is when the start order was issued or the active run was restored.
	StartedAt time.Time
	// Progress is in percent; ProgressAt is when it last increased. ProgressAt is
	// also set by the start of the run, by the first report that lists a run whose
	// start was not confirmed, and by each report while the VM is unhealthy.
	Progress   int
	ProgressAt time.Time
	// StallFrom is when the newest time of silence of the agent ended, or the run began.
	// Before it, a lack of progress says nothing about the run.
	StallFrom time.Time
	// rateFrom and rateFromProgress are the time and the progress from which on a resumed run
	// shows its rate. rateFrom is zero until that is known.
	rateFrom         time.Time
	rateFromProgress int
	// resumed says that the run began with a checkpoint, or under an earlier planner, so that
	// its first progress says nothing about its pace.
	resumed bool
	// paceFrom and paceFromProgress are the time and the progress from which on the run shows
	// the pace of its VM. paceFrom is zero until that is known.
	paceFrom         time.Time
	paceFromProgress int
	// segment is the newest part of the run with the same neighbours.
	segment segment
	// StopRequestedAt is when the run was last requested to stop, zero if it was
	// not.
	StopRequestedAt time.Time

	// Crashes holds the runs that were lost in crashes of their workers. lostFrom and
	// lostAt are the start and the end of the longest of them, zero if only an earlier
	// planner knew these times.
	// lostWith is the incarnation of a worker that crashed under the newest of them, empty
	// if only an earlier planner knew it.
	// possibleCrashes holds the runs whose workers crashed without having answered the start
	// order, or after the run was expected to have ended, in increasing order. A run may not
	// have been in progress then, so that it takes more of them to blame the task. They are
	// not stored: the agents report them to the next planner.
	// absences holds the runs that were lost on workers that could not be reached until
	// their leases had expired, or whose end their agents have not seen. They are not stored;
	// while the worker cannot be reached, its agent reports them to the next planner. Runs up
	// to outlivedThrough no longer count as absences, because a run has outlived the lost ones.
	Crashes          crashes.Record
	lostFrom, lostAt time.Time
	lostWith         string
	possibleCrashes  []int
	absences         []absence
	outlivedThrough  int

	// needs is the VM capacity that the active run occupies.
	needs steps.Resources

	// FailedOn lists, each once, the agents on whose VMs a run of the task failed or was
	// lost in a crash.
	FailedOn []string
	// Refusals holds the agents on whose VMs starts of the task were refused in a row.
	Refusals map[string]Refusal
	// NotBefore is the earliest time of the next start.
	NotBefore time.Time
	// WaitSince is when the task's newest run ended, other than one whose start was refused
	// or not sent. Before the first run has ended, it is Job.OccurrenceStarts of the task's
	// occurrence, so that the time before the preceding steps are done counts as waiting.
	WaitSince time.Time
}

// Step is a step of one occurrence.
type Step struct {
	Spec  *steps.Step
	Tasks []*Task
	// ActiveCount counts the tasks with an active run, DoneCount those that
	// succeeded.
	ActiveCount, DoneCount int
	// FailedRun is the run number of the last failure that was counted in
	// Task.Failures. It is read only for gangs, where failures of several members
	// with the same run number count once. A planner that restores the step knows it
	// while a member of that run may be in progress, which is as long as a further
	// failure of the run can be reported.
	FailedRun int
}

// Job is a job that is not over, which means that its phase is not final, or one
// that is over and still has active runs or a status to be kept for
// Timing.KeepStatus.
type Job struct {
	Spec  steps.Job
	Queue access.Queue
	// QueueKnown says that Queue is from the configuration or has the policy that the
	// job was accepted under. While it is false, no task of the job starts, and no failure
	// ends the job.
	QueueKnown bool
	// Phase is one of the final phases once no further task may start. Before that, it is
	// PhaseRunning if Begun is set.
	Phase stepfold.Phase
	// Begun says that a worker has started a run of the job, by its answer or its list of
	// runs. An order shows nothing, because it may be refused or never arrive. It is never
	// reset.
	Begun bool
	// Occurrences holds the steps of each occurrence that has begun, by its
	// number.
	Occurrences map[int][]*Step
	// AddedAt is when the job was added to or restored in this Scheduler;
	// OccurrenceStarts is when each occurrence began or was restored, by its number.
	AddedAt          time.Time
	OccurrenceStarts map[int]time.Time
	// NextOccurrence is the number of the first occurrence that has not begun.
	NextOccurrence int
	// failuresUnchecked says that some Task.Failures may have reached Queue.MaxAttempts
	// without having ended the job.
	failuresUnchecked bool
	// heldGPUs counts the accelerators that the job's active runs occupy.
	heldGPUs int
	// EndedAt is when the job ended, zero before that.
	EndedAt time.Time
	// SetAside says that the planner starts none of the job's tasks, because deciding
	// about them has failed unexpectedly. It is not stored.
	SetAside bool
}

// VM is what the planner knows about an agent and the worker on the same VM.
type VM struct {
	Agent string
	// Session is the number of the planner's newest session with the agent, which
	// is a connection over which reports and orders are sent; Attached says that
	// this session has not ended.
	Session  int
	Attached bool
	// Reported says that a report was received in the session. Until then the
	// operating system may have suspended the agent's process, and no task is
	// started on the VM.
	Reported bool
	// ReportedAt is when the newest report was received. The caller also sets it
	// when a session begins.
	ReportedAt time.Time
	// LeaseUntil is when every run on the VM has ended that leases of this planner keep
	// active, if it grants no further one; see package lease. Zero means that it has
	// granted none.
	LeaseUntil time.Time
	// Worker is the ID of the worker's incarnation, which changes when the worker
	// restarts. It is empty until the agent has reported a worker.
	Worker   string
	Service  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity steps.Resources
	Draining bool
	// DrainDeadline is the earliest time at which a draining worker may exit. It
	// has no meaning while Draining is false.
	DrainDeadline time.Time
	// Leaving says that the agent is shutting down.
	Leaving bool
	// Replaced says that an agent on another VM has taken the name of this VM's agent. No
	// agent reports about the VM any more.
	Replaced bool
	// UnhealthyUntil is the time before which no task is started on the VM,
	// because the worker was reported as unhealthy, a start there was refused, or
	// a run there stalled.
	UnhealthyUntil time.Time
	// ActiveTasks holds the tasks with an active run on the VM. used is the sum of
	// what these runs occupy.
	ActiveTasks map[steps.TaskID]*Task
	used        steps.Resources
	// free is used only within a planning pass, by usable VMs. It is the capacity that
	// no active run occupies and that is not claimed for a waiting unit. It can be
	// negative, because a claim can include capacity that ending runs have yet to
	// free.
	free steps.Resources
	// pace and paceKnown are what pace.Model.Of returned in the newest pass in which the VM
	// was usable. They have no meaning while Scheduler.paces is nil.
	pace      float64
	paceKnown bool
	// neighbourhood changes with each run that becomes active on the VM or ends there.
	neighbourhood int
	// UnknownRuns counts the runs in the newest report with a worker that this
	// Scheduler does not have as active runs on the VM. No task is started on the
	// VM while there are any.
	UnknownRuns int
	// FormerWorkers holds the incarnations of the worker that the newest report lists as
	// ended.
	FormerWorkers []string
	// Unreachable says that, by the newest report, the agent's calls to the worker fail.
	Unreachable bool
	// absentTasks holds the tasks with an undecided absence on the VM.
	absentTasks map[steps.TaskID]*Task
	// LastEndNumber is the highest worker.Ended.EndNumber that was processed for
	// the worker's incarnation.
	LastEndNumber int64
}

// Report is an agent's complete report about its worker.
type Report struct {
	Agent   string
	Session int
	// Version increases with each change of the agent's state; see
	// Task.ConclusiveReport.
	Version int
	// LeaseAge is the time since the agent requested the newest lease that its worker may
	// hold; see lease.Expired. It is 0 while the agent reaches the worker, and if the agent
	// does not tell it.
	LeaseAge time.Duration
	// VM identifies the agent's VM as the names of incarnations do. It is set only while
	// WorkerPresent is false.
	VM string
	// WorkerPresent is false while the agent knows of no worker; apart from
	// Leaving and Former, the fields below have no meaning then.
	WorkerPresent bool
	Worker        string
	Service       string
	Zone          string
	Rack          string
	Labels        []string
	Capacity      steps.Resources
	Draining      bool
	// RemainingMs is the minimum time, in milliseconds, for which a draining worker
	// still runs.
	RemainingMs int
	// Unhealthy says that no task is to be started on the worker now, Unreachable that
	// calls to it fail. Running is then what was last known.
	Unhealthy, Unreachable bool
	Leaving                bool
	Running                []RunningTask
	Ended                  []worker.Ended
	// Former holds the incarnations of the worker that have ended a short time ago,
	// oldest first, if the agent was running when they ended. It has a meaning also while
	// WorkerPresent is false.
	Former []FormerWorker
}

// FormerWorker is an incarnation of a worker that has ended, with what its agent knew
// of it then.
type FormerWorker struct {
	Worker string
	End    worker.IncarnationEnd
	// Running holds the runs that were or may have been in progress.
	Running []FormerRun
	// Ended holds the ended runs that the planner had not stored.
	Ended []worker.Ended
}

// FormerRun is a run of a FormerWorker.
type FormerRun struct {
	worker.Run
	// Age is the time from the start order, or from when the agent first found the run,
	// until the agent found that the worker had ended.
	Age time.Duration
	// Unanswered says that the worker neither answered the start order nor listed the run,
	// which may never have started.
	Unanswered bool
}

// RunningTask is a run that an agent lists in a report. It is executing, unless
// StartUnconfirmed is set: the worker has then not confirmed the start yet, and
// the run may or may not be executing.
type RunningTask struct {
	worker.Running
	StartUnconfirmed bool
}

// Order is an instruction to an agent. It is sealed; its implementations are
// StartOrder and EndsAck.
type Order interface{ order() }

// An Order is sent only after the progress that TakeOutput returned with it is
// stored. A StopOrder does not depend on a stored record and is returned by
// TakeStops.
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
	// EndsAck tells the worker incarnation with the ID Worker that the effects of
	// its ended runs with a worker.Ended.EndNumber up to LastNumber are stored, so
	// that it can discard these.
	EndsAck struct {
		Agent, Worker string
		LastNumber    int64
	}
)

func (StartOrder) order() {}
func (EndsAck) order()    {}

// Event is a decision or an observed change of state, for the log and the
// counters.
type Event struct {
	// Kind is the name of the log event and of its counter, in camel case.
	Kind string
	Job  string
	Task string
	Run  int
	// VM is the name of the VM's agent.
	VM string
	// Reason holds the inputs to the decision, or its cause.
	Reason string
}

// Output holds the results accumulated since the previous TakeOutput.
type Output struct {
	// Progress holds the newest progress of each job that changed.
	Progress []stepfold.Progressed
	// PrunedJobs holds the IDs of the jobs whose records can be deleted.
	PrunedJobs []string
	Orders     []Order
	Events     []Event
}

// Timing holds the time bounds and factors of the platform, which the caller takes
// from its settings.
type Timing struct {
	// LeaseDuration is the duration of a worker's lease. The worker ends its runs
	// when its lease expires.
	LeaseDuration time.Duration
	// KeepStatus is how long the phase of a finished job stays available.
	KeepStatus time.Duration
	// MaxStopTime is the longest that a worker takes to stop a run.
	MaxStopTime time.Duration
	// MaxReclaimTime is the longest time that a task within its organisation's
	// guarantee may wait for its start.
	MaxReclaimTime time.Duration
	// FarFactor is the factor by which the run time of a task increases away from
	// the rack that its step prefers. It is also used as an estimate for tasks of a
	// SameRack step that run on more than one rack.
	FarFactor float64
}

// Scheduler holds the scheduling state of one planner. Create it with New.
type Scheduler struct {
	Timing Timing
	Jobs   map[string]*Job
	// Cancelled maps the IDs of unknown jobs that were cancelled to the times of
	// the cancellations. A cancellation can arrive before the acceptance of its
	// job.
	Cancelled map[string]time.Time
	VMs       map[string]*VM
	// Queues and Orgs are from the newest configuration. A queue that the
	// configuration no longer has is kept for the jobs in it. A Scheduler that never saw
	// the queue uses steps.Job.QueuePolicy.
	Queues     map[string]access.Queue
	Orgs       map[string]access.Org
	Quarantine *quarantine.State
	// PreemptFrom is the time before which no run is stopped to make room. VMs with free
	// capacity may not have reported yet when a planner begins.
	PreemptFrom time.Time
	// EarlierLeasesUntil is when every run has ended that leases of earlier planners keep
	// active; see lease.EarlierTermsExpireBy. Until then such a lease may be granted on any
	// VM without a session, also on one that had reported in this term: its agent may have
	// restarted and follow an earlier planner again.
	EarlierLeasesUntil time.Time
	// Evacuated holds the zones on whose VMs no task starts.
	Evacuated map[string]bool

	policy Policy
	// paces learns how fast the VMs are. It is nil if nothing of policy needs it.
	paces *pace.Model
	// pacesEstimatedAt is when paces were last estimated. placesByPace says that units were
	// placed by pace in the newest pass.
	pacesEstimatedAt time.Time
	placesByPace     bool
	// interference learns which kinds of tasks slow each other down. It is nil without
	// Policy.Neighbours, for which paces is set too.
	interference *interference.Model
	// configured says that Configure has been called. Until then no queue is known, and
	// jobs have Job.QueueKnown unset.
	configured bool
	// severalCrashes holds the tasks with more than one crash. It can also hold tasks that
	// no longer have, until the next pass.
	severalCrashes map[steps.TaskID]*Task
	// dirty holds the IDs of the jobs whose progress has to be stored, begun those for which
	// only Job.Begun has to be; see StoreBegun.
	dirty  map[string]bool
	begun  map[string]bool
	output Output
	stops  []StopOrder
}

// The quarantine of a VM is short, because a fault of a worker lasts for seconds,
// and trying the VM again costs only the runs that are started on it then. The
// first failure among these runs extends the quarantine.
const (
	initialQuarantine = 4 * time.Second
	maxQuarantine     = 30 * time.Second
)

// Policy selects decisions that a deployment's settings ask for.
type Policy struct {
	// Paces places urgent units on VMs that are fast enough for their objectives, and other
	// units on slower VMs first, once enough VMs are known to be too slow for urgent units.
	Paces bool
	// Neighbours keeps tasks of kinds that slow each other down on different VMs where there
	// is room.
	Neighbours bool
	// NeighbourOverrides are an operator's decisions about kinds of tasks. Without Neighbours
	// they have no effect.
	NeighbourOverrides []interference.Override
}

// Option configures a Scheduler in New.
type Option func(*Scheduler)

// WithPolicy sets the policy. By default, nothing of it is selected.
func WithPolicy(p Policy) Option { return func(sc *Scheduler) { sc.SetPolicy(p) } }

// SetPolicy changes the policy. What was learned for decisions that are still selected is
// kept.
func (sc *Scheduler) SetPolicy(p Policy) {
	before := sc.policy
	sc.policy = p
	switch {
	case !p.Paces && !p.Neighbours:
		sc.paces = nil
	case sc.paces == nil:
		sc.paces = pace.New()
	}
	switch {
	case !p.Neighbours:
		sc.interference = nil
	case sc.interference == nil:
		sc.interference = interference.New()
		before.NeighbourOverrides = nil
	}
	if p.Neighbours {
		sc.overrideNeighbours(before.NeighbourOverrides, p.NeighbourOverrides)
	}
}

// New returns a Scheduler without jobs and VMs.
func New(t Timing, options ...Option) *Scheduler {
	sc := &Scheduler{
		Timing: t, Jobs: map[string]*Job{}, Cancelled: map[string]time.Time{}, VMs: map[string]*VM{}, Queues: map[string]access.Queue{}, Orgs: map[string]access.Org{},
		Quarantine: quarantine.New(quarantine.WithDurations(initialQuarantine, maxQuarantine)), dirty: map[string]bool{}, begun: map[string]bool{}, severalCrashes: map[steps.TaskID]*Task{},
	}
	for _, o := range options {
		o(sc)
	}
	return sc
}
