// Package agentd is the agent daemon of one VM. It connects to the entries,
// announces the VM to them and carries out their requests: the VM's ledger
// decides whether a task may run, and the worker runtime beside the agent runs
// it. The agent reports the end of each task to the entries.
//
// Terms: an entry is a process that takes jobs from callers. A planner is an entry
// that plans them. A gang is a job of several tasks that run at the same time,
// possibly on several VMs. An attempt is one try to run a job; an agent knows the
// part of it whose tasks are on its VM. A task is identified by its attempt and its
// rank in the job. Most attempts are reserved first and started later, under a
// lease that the planner renews. A reservation can reclaim accelerators that its
// organisation is guaranteed and that preemptible attempts of others use; these
// are evicted, which means that they may save a checkpoint and are then stopped.
// A short task is an idempotent job of one task that a single request runs
// without a reservation. If it is urgent, preemptible attempts can lend it
// accelerators, and are paused meanwhile. The answer of a task is its output. An
// entry confirms a report by a reply without an error.
//
// The callback for received requests hands each of them to a worker pool. The loop
// that reads the runtime's events handles them under the lock of vmState, and
// submits the calls to the runtime that follow from them to the pools. The package
// owns three tables, each with its lock. The locks are taken in this order:
// entryTable (links to entries), vmState (ledger and attempts), answerTable (answers
// and reports). The lock of sharedCursor (position in the runtime's events) is the last.
// No lock is held during a call to another process. One timer waits for the next
// deadline of the ledger; each link to an entry has its own timer for announcements.
package agentd

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/ledger"
	"celerypoint.example/celerypoint/vm"
)

// Config is the configuration of an agent. AnnounceTo, RuntimeURL and, in VM, the
// ID, Zone, Rack, Region and Slots are required. A zero value of a field that has a
// default means the default.
type Config struct {
	// VM describes the machine. Its BootID is set by New. The default of its
	// Connections is 64.
	VM vm.VM
	// AnnounceTo lists the addresses, host:port, of entries to connect to. The
	// agent learns of further entries from these.
	AnnounceTo []string
	// RuntimeURL is the base URL of the worker runtime.
	RuntimeURL string
	// AnnounceInterval is the time between two announcements to an entry, default
	// 1 s.
	AnnounceInterval time.Duration
	// EntryRetention is how long the agent keeps dialling an entry that is not in
	// AnnounceTo, does not answer, and is not listed by an entry that does.
	// Default 30 s.
	EntryRetention time.Duration
	// Ledger holds the durations of leases, reclaims and stops, default
	// ledger.DefaultTiming. If only some are set, the others stay zero.
	Ledger ledger.Timing
	// RuntimeTimeout bounds one request to the worker runtime, default 2 s.
	RuntimeTimeout time.Duration
	// AnswerRetention is how long after the end of a task its answer is kept, and
	// for how long its end is reported while no entry confirms it, default 10 min.
	AnswerRetention time.Duration
	// UnreadAnswerTimeout bounds how long a graceful stop waits, after the last
	// attempt has ended, until entries have read every answer and confirmed every
	// report, default 10 s.
	UnreadAnswerTimeout time.Duration
	// Workers is the number of workers that handle requests and call the runtime,
	// default 4. One more worker pauses and resumes tasks. QueueDepth is the number
	// of requests or calls that may wait for these workers, and separately for
	// that one, default 256.
	Workers, QueueDepth int
	// Seed seeds the random numbers in reconnect delays and in the boot ID; 0
	// means a seed from the clock.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.Ledger == (ledger.Timing{}) {
		c.Ledger = ledger.DefaultTiming
	}
	for _, d := range []struct {
		field        *time.Duration
		defaultValue time.Duration
	}{
		{&c.AnnounceInterval, time.Second}, {&c.EntryRetention, 30 * time.Second},
		{&c.RuntimeTimeout, 2 * time.Second}, {&c.AnswerRetention, 10 * time.Minute},
		{&c.UnreadAnswerTimeout, 10 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.defaultValue
		}
	}
	if c.Workers == 0 {
		c.Workers = 4
	}
	if c.QueueDepth == 0 {
		c.QueueDepth = 256
	}
	if c.VM.Connections == 0 {
		c.VM.Connections = 64
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
	}
	return c
}

func (c Config) validate() error {
	switch {
	case c.VM.ID == "" || c.VM.Zone == "" || c.VM.Rack == "" || c.VM.Region == "":
		return fmt.Errorf("agentd: found an empty vm, zone, rack or region, allowed: none of them empty")
	case c.VM.Accelerators < 0 || c.VM.Slots < 1:
		return fmt.Errorf("agentd: found accelerators=%d slots=%d, allowed: at least 0 and at least 1", c.VM.Accelerators, c.VM.Slots)
	case c.RuntimeURL == "":
		return fmt.Errorf("agentd: found no runtime URL, allowed: a URL such as http://127.0.0.1:7000")
	case len(c.AnnounceTo) == 0:
		return fmt.Errorf("agentd: found no address of an entry, allowed: at least one host:port")
	default:
		return nil
	}
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithRegistry sets the registry of the metrics.
func WithRegistry(r metrics.Registry) Option { return func(d *Daemon) { d.registry = r } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(d *Daemon) { d.log = l } }
