// Package agentd is the agent daemon of one VM. It dials entries, announces
// the VM, carries out their orders against the VM's ledger and the worker
// runtime, and reports the ends of tasks.
//
// Socket callbacks and the runtime's event loop only decode, take a decision
// under a lock and hand work to the pools. The tables and their locks, taken
// in this order: entries (config), ledger with attempts, answers with reports.
// No lock is held during a call to another process. One timer waits for the
// next deadline of the ledger; each link to an entry has one for its
// announcements.
package agentd

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/ledger"
	"celerypoint.example/celerypoint/vm"
)

// Config is what an agent is started with. Zero values mean the defaults.
type Config struct {
	// VM describes the machine; its BootID is set by New.
	VM vm.VM
	// AnnounceTo are addresses of entries, host:port.
	AnnounceTo []string
	// RuntimeURL is the base URL of the worker runtime.
	RuntimeURL string
	// AnnounceInterval is the interval of announcements, default 1 s.
	AnnounceInterval time.Duration
	// EntryRetention is how long an entry that no live entry names is kept,
	// default 30 s.
	EntryRetention time.Duration
	// Ledger holds the lease, reclaim and stop timings.
	Ledger ledger.Timing
	// RuntimeTimeout bounds one request to the runtime, default 2 s.
	RuntimeTimeout time.Duration
	// AnswerRetention is how long answers and unconfirmed reports are kept,
	// default 10 min.
	AnswerRetention time.Duration
	// UnreadAnswerTimeout bounds how long a graceful stop waits for answers that no
	// entry has read, default 10 s.
	UnreadAnswerTimeout time.Duration
	// Workers handle orders, default 4; at most QueueDepth orders wait, default
	// 256.
	Workers, QueueDepth int
	// Seed seeds the jitter of reconnects; 0 takes one from the clock.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.Ledger == (ledger.Timing{}) {
		c.Ledger = ledger.DefaultTiming
	}
	for _, d := range []struct {
		field   *time.Duration
		missing time.Duration
	}{
		{&c.AnnounceInterval, time.Second}, {&c.EntryRetention, 30 * time.Second},
		{&c.RuntimeTimeout, 2 * time.Second}, {&c.AnswerRetention, 10 * time.Minute},
		{&c.UnreadAnswerTimeout, 10 * time.Second},
	} {
		if *d.field == 0 {
			*d.field = d.missing
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

func (c Config) check() error {
	switch {
	case c.VM.ID == "" || c.VM.Zone == "" || c.VM.Rack == "" || c.VM.Region == "":
		return fmt.Errorf("agentd: found an empty vm, zone, rack or region, allowed: none of them empty")
	case c.VM.Accelerators < 0 || c.VM.Slots < 1:
		return fmt.Errorf("agentd: found accelerators=%d slots=%d, allowed: at least 0 and at least 1", c.VM.Accelerators, c.VM.Slots)
	case c.RuntimeURL == "":
		return fmt.Errorf("agentd: found no runtime URL, allowed: a URL such as http://127.0.0.1:7000")
	case len(c.AnnounceTo) == 0:
		return fmt.Errorf("agentd: found no address to announce to, allowed: at least one host:port")
	default:
		return nil
	}
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithRegistry sets the registry of the counters.
func WithRegistry(r metrics.Registry) Option { return func(d *Daemon) { d.registry = r } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(d *Daemon) { d.log = l } }
