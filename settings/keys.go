package settings

import (
	"time"

	"celerypoint.example/celerypoint/placement"
)

// Help texts of the section logging, which both roles have.
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
		address(func(e *Entry) *string { return &e.RPCAddress }, false)},
	{Key{Section: "entry", Name: "httpAddress", Allowed: httpAllowed, Help: "where callers, operators and the load balancer connect"},
		address(func(e *Entry) *string { return &e.HTTPAddress }, true)},
	{Key{Section: "entry", Name: "advertiseAddress", Optional: true, Allowed: "IP:PORT", Help: "RPC address that others are told, when it is not rpcAddress"},
		target(func(e *Entry) *string { return &e.AdvertiseAddress })},
	{Key{Section: "entry", Name: "seeds", Optional: true, Allowed: listAllowed, Help: "RPC addresses of other entries"},
		addresses(func(e *Entry) *[]string { return &e.Seeds })},

	{Key{Section: "log", Name: "url", Allowed: urlAllowed, Help: "the platform's log service"},
		baseURL(func(e *Entry) *string { return &e.LogURL })},

	{Key{Section: "policy", Name: "placement", Default: "adjacent", Allowed: "adjacent, baseline", Help: "how waiting jobs are placed"},
		choice(func(e *Entry) *placement.Policy { return &e.Placement }, placement.PolicyAdjacent, placement.PolicyBaseline)},

	{Key{Section: "limits", Name: "urgentQueue", Default: "4096", Allowed: queueAllowed, Help: "urgent requests that wait at once"},
		number(func(e *Entry) *int { return &e.UrgentQueue }, 1, 1<<20)},
	{Key{Section: "limits", Name: "normalQueue", Default: "4096", Allowed: queueAllowed, Help: "normal jobs that wait at once"},
		number(func(e *Entry) *int { return &e.NormalQueue }, 1, 1<<20)},
	{Key{Section: "limits", Name: "batchQueue", Default: "4096", Allowed: queueAllowed, Help: "batch jobs that wait at once"},
		number(func(e *Entry) *int { return &e.BatchQueue }, 1, 1<<20)},
	{Key{Section: "limits", Name: "workers", Default: "32", Allowed: "1 to 1024", Help: "workers of the entry's pool"},
		number(func(e *Entry) *int { return &e.Workers }, 1, 1024)},

	{Key{Section: "timing", Name: "vmLostMs", Default: "4000", Allowed: spanAllowed, Help: "a VM without an announcement for so long is lost"},
		span(func(e *Entry) *time.Duration { return &e.VMLostTimeout })},
	{Key{Section: "timing", Name: "peerLostMs", Default: "2000", Allowed: spanAllowed, Help: "an entry without a message for so long is lost"},
		span(func(e *Entry) *time.Duration { return &e.PeerLostTimeout })},
	{Key{Section: "timing", Name: "helloMs", Default: "500", Allowed: spanAllowed, Help: "interval of messages to other entries"},
		span(func(e *Entry) *time.Duration { return &e.HelloInterval })},
	{Key{Section: "timing", Name: "reservationMs", Default: "3000", Allowed: spanAllowed, Help: "how long an agent holds a reservation"},
		span(func(e *Entry) *time.Duration { return &e.Reservation })},
	{Key{Section: "timing", Name: "gangLeaseMs", Default: "4000", Allowed: spanAllowed, Help: "lease of a member of an attempt"},
		span(func(e *Entry) *time.Duration { return &e.GangLease })},
	{Key{Section: "timing", Name: "confirmMs", Default: "1000", Allowed: spanAllowed, Help: "interval of confirmations, each of which renews the lease"},
		span(func(e *Entry) *time.Duration { return &e.ConfirmInterval })},
	{Key{Section: "timing", Name: "reclaimMs", Default: "5000", Allowed: spanAllowed, Help: "how long an owner waits for borrowed accelerators"},
		span(func(e *Entry) *time.Duration { return &e.Reclaim })},
	{Key{Section: "timing", Name: "stopMs", Default: "30000", Allowed: spanAllowed, Help: "longest graceful stop"},
		span(func(e *Entry) *time.Duration { return &e.StopTimeout })},
	{Key{Section: "timing", Name: "balancerNoticeMs", Default: "1000", Allowed: spanAllowed, Help: "how long the load balancer needs to notice a stop"},
		span(func(e *Entry) *time.Duration { return &e.BalancerDelay })},

	{Key{Section: "logging", Name: "level", Default: "info", Allowed: levelAllowed, Help: levelHelp},
		choice(func(e *Entry) *string { return &e.LogLevel }, "error", "warn", "info", "debug")},
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
		addresses(func(a *Agent) *[]string { return &a.AnnounceTo })},
	{Key{Section: "agent", Name: "labels", Optional: true, Allowed: "KEY=VALUE, separated by commas, each key once", Help: "labels that selectors match"},
		labels(func(a *Agent) *map[string]string { return &a.Labels })},
	{Key{Section: "agent", Name: "accelerators", Allowed: "0 to 1024", Help: "accelerators of this VM"},
		number(func(a *Agent) *int { return &a.Accelerators }, 0, 1024)},
	{Key{Section: "agent", Name: "slots", Allowed: "1 to 4096", Help: "tasks that run at once"},
		number(func(a *Agent) *int { return &a.Slots }, 1, 4096)},
	{Key{Section: "agent", Name: "connections", Default: "64", Allowed: "1 to 65536", Help: "requests in flight between entries and this VM"},
		number(func(a *Agent) *int { return &a.Connections }, 1, 65536)},
	{Key{Section: "agent", Name: "cpus", Allowed: "1 to 4096", Help: "processor cores of this VM"},
		number(func(a *Agent) *int { return &a.CPUs }, 1, 4096)},
	{Key{Section: "agent", Name: "memoryMB", Allowed: "1 to 67108864", Help: "memory of this VM in MiB"},
		number(func(a *Agent) *int { return &a.MemoryMB }, 1, 64<<20)},

	{Key{Section: "runtime", Name: "url", Allowed: urlAllowed, Help: "the worker runtime beside this agent"},
		baseURL(func(a *Agent) *string { return &a.RuntimeURL })},

	{Key{Section: "timing", Name: "announceMs", Default: "1000", Allowed: spanAllowed, Help: "interval of announcements"},
		span(func(a *Agent) *time.Duration { return &a.AnnounceInterval })},
	{Key{Section: "timing", Name: "reclaimMs", Default: "5000", Allowed: spanAllowed, Help: "longest time until a borrower has gone"},
		span(func(a *Agent) *time.Duration { return &a.Reclaim })},
	{Key{Section: "timing", Name: "checkpointMs", Default: "3000", Allowed: spanAllowed, Help: "the part of reclaimMs that a checkpoint may take"},
		span(func(a *Agent) *time.Duration { return &a.Checkpoint })},
	{Key{Section: "timing", Name: "answerRetentionMs", Default: "600000", Allowed: spanAllowed, Help: "how long answers are kept"},
		span(func(a *Agent) *time.Duration { return &a.AnswerRetention })},
	{Key{Section: "timing", Name: "stopMs", Default: "30000", Allowed: spanAllowed, Help: "longest graceful stop"},
		span(func(a *Agent) *time.Duration { return &a.StopTimeout })},

	{Key{Section: "logging", Name: "level", Default: "info", Allowed: levelAllowed, Help: levelHelp},
		choice(func(a *Agent) *string { return &a.LogLevel }, "error", "warn", "info", "debug")},
}
