package settings

import (
	"net/netip"
	"strconv"
	"time"
)

// SiteEntry holds the settings of an entry on the users' platform.
type SiteEntry struct {
	SiteNode
	// ClientAddress and ReadinessAddress are where clients and the load
	// balancer connect.
	ClientAddress, ReadinessAddress string
	// KeepStatus is how long the phase of a job that is over stays known.
	KeepStatus time.Duration
	// MaxLease is the longest lease that a worker takes.
	MaxLease time.Duration
	// MaxStopTime is the longest that a worker takes to stop a run.
	MaxStopTime time.Duration
	// MaxReclaimTime is the longest time in which a guarantee has to be reclaimed.
	MaxReclaimTime time.Duration
	// KeyGrace is how long a key may be honoured after it was taken away.
	KeyGrace time.Duration
	// FarFactor is how much slower a task is away from its rack.
	FarFactor float64
}

// SiteAgent holds the settings of an agent on the users' platform.
type SiteAgent struct {
	SiteNode
	// WorkerAddress is where the worker takes calls; HeartbeatAddress is where
	// it announces itself.
	WorkerAddress, HeartbeatAddress string
}

// SiteNode holds what every process on the users' platform is told.
type SiteNode struct {
	Name, Zone string
	// IP and Ports are where the system's processes connect to this one: the
	// first port for messages, the second for metrics.
	IP    string
	Ports []int
	// AdvertiseAddress is the address that others are told instead of Address, for
	// example that of a proxy; empty for Address itself.
	AdvertiseAddress string
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string
	// KillDelay is how long after SIGTERM the process is killed.
	KillDelay time.Duration
	// MemoryMB bounds the process's memory.
	MemoryMB int
}

// Address is where the system's processes connect to this one.
func (n SiteNode) Address() string { return n.port(0) }

// MetricsAddress is where metrics are served.
func (n SiteNode) MetricsAddress() string { return n.port(1) }

func (n SiteNode) port(i int) string {
	return netip.AddrPortFrom(netip.MustParseAddr(n.IP), uint16(n.Ports[i])).String()
}

func siteNode[S any](node func(*S) *SiteNode) []binding[S] {
	return []binding[S]{
		{Key{Section: "node", Name: "name", Allowed: nameAllowed, Help: "unique name of this process, the same after a restart"},
			name(func(s *S) *string { return &node(s).Name })},
		{Key{Section: "node", Name: "zone", Allowed: nameAllowed, Help: "availability zone of this VM"},
			name(func(s *S) *string { return &node(s).Zone })},
		{Key{Section: "node", Name: "ip", Allowed: "an IP address of this VM", Help: "where other processes of the system connect"},
			func(s *S, value string) bool {
				node(s).IP = value
				a, err := netip.ParseAddr(value)
				return err == nil && !a.IsUnspecified()
			}},
		{Key{Section: "node", Name: "ports", Allowed: "FIRST,LAST with at least two ports", Help: "ports for the system's own processes"},
			func(s *S, value string) bool { return ports(value, &node(s).Ports) }},
		{Key{Section: "node", Name: "advertiseAddress", Optional: true, Allowed: "IP:PORT", Help: "address that other processes are told, when it is not the first port"},
			target(func(s *S) *string { return &node(s).AdvertiseAddress })},
		{Key{Section: "node", Name: "store", Allowed: "IP:PORT", Help: "the platform's store"},
			target(func(s *S) *string { return &node(s).StoreAddress })},
		{Key{Section: "node", Name: "stopSeconds", Allowed: "0.5 to 86400", Help: "time from SIGTERM to SIGKILL"},
			seconds(func(s *S) *time.Duration { return &node(s).KillDelay })},
		{Key{Section: "node", Name: "memoryMB", Allowed: "16 to 1048576", Help: "memory of the process in MiB"},
			number(func(s *S) *int { return &node(s).MemoryMB }, 16, 1<<20)},
	}
}

var siteEntryBindings = append(siteNode(func(e *SiteEntry) *SiteNode { return &e.SiteNode }), []binding[SiteEntry]{
	{Key{Section: "entry", Name: "clientAddress", Allowed: "IP:PORT", Help: "where clients connect"},
		target(func(e *SiteEntry) *string { return &e.ClientAddress })},
	{Key{Section: "entry", Name: "readinessAddress", Allowed: "IP:PORT", Help: "where the load balancer asks"},
		target(func(e *SiteEntry) *string { return &e.ReadinessAddress })},
	{Key{Section: "entry", Name: "keepStatusSeconds", Allowed: "0.5 to 86400", Help: "how long the state of an ended job stays known"},
		seconds(func(e *SiteEntry) *time.Duration { return &e.KeepStatus })},
	{Key{Section: "entry", Name: "leaseMs", Allowed: spanAllowed, Help: "longest lease of a worker"},
		span(func(e *SiteEntry) *time.Duration { return &e.MaxLease })},
	{Key{Section: "entry", Name: "stopRunMs", Allowed: spanAllowed, Help: "longest time in which a worker stops a run"},
		span(func(e *SiteEntry) *time.Duration { return &e.MaxStopTime })},
	{Key{Section: "entry", Name: "reclaimMs", Allowed: spanAllowed, Help: "longest time in which a guarantee is reclaimed"},
		span(func(e *SiteEntry) *time.Duration { return &e.MaxReclaimTime })},
	{Key{Section: "entry", Name: "keyGraceMs", Allowed: spanAllowed, Help: "how long a key may be honoured after it was taken away"},
		span(func(e *SiteEntry) *time.Duration { return &e.KeyGrace })},
	{Key{Section: "entry", Name: "farFactor", Allowed: "1 to 1000", Help: "how much slower a task is away from its rack"},
		func(e *SiteEntry, value string) bool {
			f, err := strconv.ParseFloat(value, 64)
			e.FarFactor = f
			return err == nil && f >= 1 && f <= 1000
		}},
}...)

var siteAgentBindings = append(siteNode(func(a *SiteAgent) *SiteNode { return &a.SiteNode }), []binding[SiteAgent]{
	{Key{Section: "agent", Name: "workerAddress", Allowed: "IP:PORT", Help: "where the worker beside the agent takes calls"},
		target(func(a *SiteAgent) *string { return &a.WorkerAddress })},
	{Key{Section: "agent", Name: "heartbeatAddress", Allowed: "IP:PORT", Help: "where the worker announces itself"},
		target(func(a *SiteAgent) *string { return &a.HeartbeatAddress })},
}...)

// SiteEntryKeys lists the keys of an entry's settings on the platform.
func SiteEntryKeys() []Key { return keysOf(siteEntryBindings) }

// SiteAgentKeys lists the keys of an agent's settings on the platform.
func SiteAgentKeys() []Key { return keysOf(siteAgentBindings) }

// LoadSiteEntry reads the settings of an entry on the platform; see LoadEntry.
func LoadSiteEntry(path string, overrides map[string]string) (SiteEntry, error) {
	return load(path, overrides, siteEntryBindings)
}

// LoadSiteAgent reads the settings of an agent on the platform; see LoadEntry.
func LoadSiteAgent(path string, overrides map[string]string) (SiteAgent, error) {
	return load(path, overrides, siteAgentBindings)
}
