package settings

import (
	"time"

	"celerypoint.example/celerypoint/placement"
)

// Allowed values and help text of the key level in section [logging], which
// entries and agents share.
const (
	levelAllowed = "error, warn, info, debug"
	levelHelp    = "log lines of this level and above are written"
)

var entryBindings = []binding[Entry]{
	{Key{Section: "entry", Name: "id", Allowed: nameAllowed, Help: "unique name of this entry"},
		name(func(e *Entry) *string { return &e.ID })},
	{Key{Section: "entry", Name: "zone", Allowed: nameAllowed, Help: "availability zone of this VM"},
		name(func(e *Entry) *string { return &e.Zone })},
	{Key{Section: "entry", Name: "region", Allowed: nameAllowed, Help: "region of this VM"},
		name(func(e *Entry) *string { return &e.Region })},
	{Key{Section: "entry", Name: "rpcAddress", Allowed: rpcAllowed, Help: "where agents and other entries connect"},
		listenAddress(func(e *Entry) *string { return &e.RPCAddress }, false)},
	{Key{Section: "entry", Name: "httpAddress", Allowed: httpAllowed, Help: "where callers, operators and the load balancer connect"},
		listenAddress(func(e *Entry) *string { return &e.HTTPAddress }, true)},
	{Key{Section: "entry", Name: "advertiseAddress", Optional: true, Allowed: "IP:PORT", Help: "RPC address that agents and other entries connect to, if it differs from rpcAddress"},
		connectAddress(func(e *Entry) *string { return &e.AdvertiseAddress })},
	{Key{Section: "entry", Name: "seeds", Optional: true, Allowed: listAllowed, Help: "RPC addresses of other entries"},
		connectAddresses(func(e *Entry) *[]string { return &e.Seeds })},

	{Key{Section: "log", Name: "url", Allowed: urlAllowed, Help: "base URL of the platform's log service"},
		baseURL(func(e *Entry) *string { return &e.LogURL })},

	{Key{Section: "policy", Name: "placement", Default: "adjacent", Allowed: "adjacent, baseline", Help: "placement policy for waiting jobs"},
		oneOf(func(e *Entry) *placement.Policy { return &e.Placement }, placement.PolicyAdjacent, placement.PolicyBaseline)},

	{Key{Section: "limits", Name: "urgentQueue", Default: "4096", Allowed: queueAllowed, Help: "maximum number of waiting urgent requests"},
		intBetween(func(e *Entry) *int { return &e.UrgentQueue }, 1, 1<<20)},
	{Key{Section: "limits", Name: "normalQueue", Default: "4096", Allowed: queueAllowed, Help: "maximum number of waiting normal jobs"},
		intBetween(func(e *Entry) *int { return &e.NormalQueue }, 1, 1<<20)},
	{Key{Section: "limits", Name: "batchQueue", Default: "4096", Allowed: queueAllowed, Help: "maximum number of waiting batch jobs"},
		intBetween(func(e *Entry) *int { return &e.BatchQueue }, 1, 1<<20)},
	{Key{Section: "limits", Name: "workers", Default: "32", Allowed: "1 to 1024", Help: "goroutines in the entry's worker pool"},
		intBetween(func(e *Entry) *int { return &e.Workers }, 1, 1024)},
	{Key{Section: "limits", Name: "memoryMB", Default: "256", Allowed: "64 to 1048576", Help: "memory of the process in MiB, of which connections may use a part"},
		intBetween(func(e *Entry) *int { return &e.MemoryMiB }, 64, 1<<20)},

	{Key{Section: "timing", Name: "vmLostMs", Default: "4000", Allowed: durationMsAllowed, Help: "time without an announcement after which a VM is lost, in ms"},
		durationMs(func(e *Entry) *time.Duration { return &e.VMLostTimeout })},
	{Key{Section: "timing", Name: "peerLostMs", Default: "2000", Allowed: durationMsAllowed, Help: "time without a message after which another entry is lost, in ms"},
		durationMs(func(e *Entry) *time.Duration { return &e.PeerLostTimeout })},
	{Key{Section: "timing", Name: "helloMs", Default: "500", Allowed: durationMsAllowed, Help: "interval of heartbeats to other entries, in ms"},
		durationMs(func(e *Entry) *time.Duration { return &e.HelloInterval })},
	{Key{Section: "timing", Name: "reservationMs", Default: "3000", Allowed: durationMsAllowed, Help: "how long an agent holds a reservation, in ms"},
		durationMs(func(e *Entry) *time.Duration { return &e.Reservation })},
	{Key{Section: "timing", Name: "gangLeaseMs", Default: "4000", Allowed: durationMsAllowed, Help: "lease under which a VM runs its part of a gang, in ms"},
		durationMs(func(e *Entry) *time.Duration { return &e.GangLease })},
	{Key{Section: "timing", Name: "confirmMs", Default: "1000", Allowed: durationMsAllowed, Help: "interval at which the planner confirms a gang, which renews its leases, in ms"},
		durationMs(func(e *Entry) *time.Duration { return &e.ConfirmInterval })},
	{Key{Section: "timing", Name: "reclaimMs", Default: "5000", Allowed: durationMsAllowed, Help: "longest time until borrowed accelerators are returned to their owner, in ms"},
		durationMs(func(e *Entry) *time.Duration { return &e.Reclaim })},
	{Key{Section: "timing", Name: "stopMs", Default: "30000", Allowed: durationMsAllowed, Help: "longest duration of a graceful stop, in ms"},
		durationMs(func(e *Entry) *time.Duration { return &e.StopTimeout })},
	{Key{Section: "timing", Name: "balancerNoticeMs", Default: "1000", Allowed: durationMsAllowed, Help: "how long the load balancer takes to notice that an entry is stopping, in ms"},
		durationMs(func(e *Entry) *time.Duration { return &e.BalancerDelay })},

	{Key{Section: "logging", Name: "level", Default: "info", Allowed: levelAllowed, Help: levelHelp},
		oneOf(func(e *Entry) *string { return &e.LogLevel }, "error", "warn", "info", "debug")},
}

var agentBindings = []binding[Agent]{
	{Key{Section: "agent", Name: "vm", Allowed: nameAllowed, Help: "unique name of this VM"},
		name(func(a *Agent) *string { return &a.VM })},
	{Key{Section: "agent", Name: "zone", Allowed: nameAllowed, Help: "availability zone of this VM"},
		name(func(a *Agent) *string { return &a.Zone })},
	{Key{Section: "agent", Name: "rack", Allowed: nameAllowed, Help: "rack of this VM, unique in its region"},
		name(func(a *Agent) *string { return &a.Rack })},
	{Key{Section: "agent", Name: "region", Allowed: nameAllowed, Help: "region of this VM"},
		name(func(a *Agent) *string { return &a.Region })},
	{Key{Section: "agent", Name: "announceTo", Allowed: "at least one, " + listAllowed, Help: "RPC addresses of entries"},
		connectAddresses(func(a *Agent) *[]string { return &a.AnnounceTo })},
	{Key{Section: "agent", Name: "labels", Optional: true, Allowed: "KEY=VALUE, separated by commas, each key once", Help: "labels that selectors match"},
		labels(func(a *Agent) *map[string]string { return &a.Labels })},
	{Key{Section: "agent", Name: "accelerators", Allowed: "0 to 1024", Help: "accelerators of this VM"},
		intBetween(func(a *Agent) *int { return &a.Accelerators }, 0, 1024)},
	{Key{Section: "agent", Name: "slots", Allowed: "1 to 4096", Help: "maximum number of tasks that run at once, apart from urgent ones"},
		intBetween(func(a *Agent) *int { return &a.Slots }, 1, 4096)},
	{Key{Section: "agent", Name: "connections", Default: "64", Allowed: "1 to 65536", Help: "maximum number of short requests that each entry has in flight to this VM, and that wait in the agent's queue"},
		intBetween(func(a *Agent) *int { return &a.Connections }, 1, 65536)},
	{Key{Section: "agent", Name: "cpus", Allowed: "1 to 4096", Help: "processor cores of this VM"},
		intBetween(func(a *Agent) *int { return &a.CPUs }, 1, 4096)},
	{Key{Section: "agent", Name: "memoryMB", Allowed: "1 to 67108864", Help: "memory of this VM in MiB"},
		intBetween(func(a *Agent) *int { return &a.MemoryMiB }, 1, 64<<20)},

	{Key{Section: "runtime", Name: "url", Allowed: urlAllowed, Help: "base URL of the worker runtime on this VM"},
		baseURL(func(a *Agent) *string { return &a.RuntimeURL })},

	{Key{Section: "timing", Name: "announceMs", Default: "1000", Allowed: durationMsAllowed, Help: "interval of announcements, in ms"},
		durationMs(func(a *Agent) *time.Duration { return &a.AnnounceInterval })},
	{Key{Section: "timing", Name: "reclaimMs", Default: "5000", Allowed: durationMsAllowed, Help: "longest time until a job that borrows accelerators is evicted, in ms"},
		durationMs(func(a *Agent) *time.Duration { return &a.Reclaim })},
	{Key{Section: "timing", Name: "checkpointMs", Default: "3000", Allowed: durationMsAllowed, Help: "the part of reclaimMs that a checkpoint may take, in ms"},
		durationMs(func(a *Agent) *time.Duration { return &a.Checkpoint })},
	{Key{Section: "timing", Name: "answerRetentionMs", Default: "600000", Allowed: durationMsAllowed, Help: "how long answers are kept, in ms"},
		durationMs(func(a *Agent) *time.Duration { return &a.AnswerRetention })},
	{Key{Section: "timing", Name: "stopMs", Default: "30000", Allowed: durationMsAllowed, Help: "longest duration of a graceful stop, in ms"},
		durationMs(func(a *Agent) *time.Duration { return &a.StopTimeout })},

	{Key{Section: "logging", Name: "level", Default: "info", Allowed: levelAllowed, Help: levelHelp},
		oneOf(func(a *Agent) *string { return &a.LogLevel }, "error", "warn", "info", "debug")},
}
