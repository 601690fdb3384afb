package settings

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"celerypoint.example/celerypoint/interference"
)

// SiteEntry holds the settings of an entry on the users' platform, to which package
// platform connects. The command `celerypoint site entry` reads them.
type SiteEntry struct {
	SiteNode
	// ClientAddress is the address to listen on for clients. ReadinessAddress
	// is the address to listen on for readiness probes of the load balancer.
	ClientAddress, ReadinessAddress string
	// KeepStatus is how long the phase of a job stays available after its end.
	KeepStatus time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// MaxStopTime is the longest time that a worker takes to stop a run.
	MaxStopTime time.Duration
	// MaxReclaimTime is the longest time that an organisation's job may wait
	// until accelerators that are guaranteed to the organisation have been
	// reclaimed from jobs that borrow them.
	MaxReclaimTime time.Duration
	// KeyGrace is the longest time for which an API key may be accepted after
	// its removal from the configuration.
	KeyGrace time.Duration
	// ConfigApply is the longest time until a version of the configuration that the
	// operator has stored is in force.
	ConfigApply time.Duration
	// FarFactor is the factor by which the run time of a task increases on a VM
	// outside the task's preferred rack.
	FarFactor float64
	// Paces says whether units are placed by how fast VMs are.
	Paces PaceMode
	// Neighbours says whether tasks that slow each other down are kept apart.
	Neighbours NeighbourMode
	// NeighbourOverrides are decisions about kinds of tasks, at most one about each pair. They
	// are empty unless Neighbours is NeighboursSeparated.
	NeighbourOverrides []interference.Override
}

// PaceMode says what the planner does with the paces of VMs.
type PaceMode string

const (
	PacesIgnored    PaceMode = "ignored"
	PacesConsidered PaceMode = "considered"
)

// NeighbourMode says what the planner does with tasks that slow each other down on one VM.
type NeighbourMode string

const (
	NeighboursIgnored   NeighbourMode = "ignored"
	NeighboursSeparated NeighbourMode = "separated"
)

// SiteAgent holds the settings of an agent on the users' platform, to which package
// platform connects. The command `celerypoint site agent` reads them.
type SiteAgent struct {
	SiteNode
	// WorkerAddress is the address at which the worker serves requests.
	// HeartbeatAddress is the address on which the agent listens for the
	// worker's heartbeats.
	WorkerAddress, HeartbeatAddress string
	// HeartbeatInterval is the time between two announcements of the worker, and
	// CapacityGrace how long, beyond one such interval, a start may rely on capacity that
	// the worker has lost. Both are 0 if they are not known.
	HeartbeatInterval, CapacityGrace time.Duration
	// WorkerService is the service of the worker. Announcements of a worker of another
	// service are rejected. It is empty if the service is not known.
	WorkerService string
}

// SiteNode holds the settings that entries and agents on the users' platform
// have in common.
type SiteNode struct {
	Name, Zone string
	// IP and Ports are for connections from other processes of the system. The
	// first port serves RPCs, the second metrics. Further ports are unused.
	IP    string
	Ports []int
	// AdvertiseAddress is the address that other processes are given instead of
	// Address, for example that of a proxy. Empty means Address.
	AdvertiseAddress string
	// StoreAddress is the IP address and port of the platform's store service.
	StoreAddress string
	// TerminationGrace is the time from the SIGTERM to the SIGKILL that the platform
	// sends to this process to end it.
	TerminationGrace time.Duration
	// MemoryMiB is the memory limit of the process in MiB.
	MemoryMiB int
	// Descriptors is the number of open files that the process may have, if that is less than
	// the limit of the operating system.
	Descriptors int
	// CPUShare is the share of a core that the process may use, 0 if it is not known.
	CPUShare float64
}

// Address returns the address to listen on for RPCs from other processes of the
// system.
func (n SiteNode) Address() string { return n.port(0) }

// MetricsAddress returns the address at which metrics are served.
func (n SiteNode) MetricsAddress() string { return n.port(1) }

func (n SiteNode) port(i int) string {
	return netip.AddrPortFrom(netip.MustParseAddr(n.IP), uint16(n.Ports[i])).String()
}

func siteNodeBindings[S any](node func(*S) *SiteNode) []binding[S] {
	return []binding[S]{
		{Key{Section: "node", Name: "name", Allowed: nameAllowed, Help: "unique name of this process, the same after a restart"},
			name(func(s *S) *string { return &node(s).Name })},
		{Key{Section: "node", Name: "zone", Allowed: nameAllowed, Help: "availability zone of this VM"},
			name(func(s *S) *string { return &node(s).Zone })},
		{Key{Section: "node", Name: "ip", Allowed: "an IP address of this VM", Help: "address to listen on for other processes of the system"},
			func(s *S, value string) bool {
				node(s).IP = value
				a, err := netip.ParseAddr(value)
				return err == nil && !a.IsUnspecified()
			}},
		{Key{Section: "node", Name: "ports", Allowed: "FIRST,LAST with at least two ports", Help: "range of ports for connections from other processes of the system; the first is for RPCs, the second for metrics"},
			func(s *S, value string) bool { return portRange(value, &node(s).Ports) }},
		{Key{Section: "node", Name: "advertiseAddress", Optional: true, Allowed: "IP:PORT", Help: "address that other processes connect to, if it differs from ip and the first port"},
			connectAddress(func(s *S) *string { return &node(s).AdvertiseAddress })},
		{Key{Section: "node", Name: "store", Allowed: "IP:PORT", Help: "address of the platform's store"},
			connectAddress(func(s *S) *string { return &node(s).StoreAddress })},
		{Key{Section: "node", Name: "stopSeconds", Allowed: "0.5 to 86400", Help: "time from SIGTERM to SIGKILL"},
			durationSeconds(func(s *S) *time.Duration { return &node(s).TerminationGrace })},
		{Key{Section: "node", Name: "memoryMB", Allowed: "16 to 1048576", Help: "memory limit of the process in MiB"},
			intBetween(func(s *S) *int { return &node(s).MemoryMiB }, 16, 1<<20)},
		{Key{Section: "node", Name: "descriptors", Default: "1048576", Allowed: "128 to 1048576", Help: "open files that the process may have, if that is less than the limit of the operating system"},
			intBetween(func(s *S) *int { return &node(s).Descriptors }, 128, 1<<20)},
		{Key{Section: "node", Name: "cpuShare", Optional: true, Allowed: "above 0, at most 1024", Help: "cores, or the share of one, that the process may use"},
			func(s *S, value string) bool {
				f, err := strconv.ParseFloat(value, 64)
				node(s).CPUShare = f
				return err == nil && f > 0 && f <= 1024
			}},
	}
}

var siteEntryBindings = append(siteNodeBindings(func(e *SiteEntry) *SiteNode { return &e.SiteNode }), []binding[SiteEntry]{
	{Key{Section: "entry", Name: "clientAddress", Allowed: "IP:PORT", Help: "address to listen on for clients"},
		connectAddress(func(e *SiteEntry) *string { return &e.ClientAddress })},
	{Key{Section: "entry", Name: "readinessAddress", Allowed: "IP:PORT", Help: "address to listen on for readiness probes of the load balancer"},
		connectAddress(func(e *SiteEntry) *string { return &e.ReadinessAddress })},
	{Key{Section: "entry", Name: "keepStatusSeconds", Allowed: "0.5 to 86400", Help: "how long the state of a job stays available after its end"},
		durationSeconds(func(e *SiteEntry) *time.Duration { return &e.KeepStatus })},
	{Key{Section: "entry", Name: "leaseMs", Allowed: durationMsAllowed, Help: "longest lease that a worker accepts, in ms"},
		durationMs(func(e *SiteEntry) *time.Duration { return &e.MaxLease })},
	{Key{Section: "entry", Name: "stopRunMs", Allowed: durationMsAllowed, Help: "longest time that a worker takes to stop a run, in ms"},
		durationMs(func(e *SiteEntry) *time.Duration { return &e.MaxStopTime })},
	{Key{Section: "entry", Name: "reclaimMs", Allowed: durationMsAllowed, Help: "longest time until guaranteed accelerators have been reclaimed, in ms"},
		durationMs(func(e *SiteEntry) *time.Duration { return &e.MaxReclaimTime })},
	{Key{Section: "entry", Name: "keyGraceMs", Allowed: durationMsAllowed, Help: "longest time for which an API key may be accepted after its removal, in ms"},
		durationMs(func(e *SiteEntry) *time.Duration { return &e.KeyGrace })},
	{Key{Section: "entry", Name: "configApplyMs", Default: "2000", Allowed: durationMsAllowed, Help: "longest time until a stored version of the configuration is in force, in ms"},
		durationMs(func(e *SiteEntry) *time.Duration { return &e.ConfigApply })},
	{Key{Section: "entry", Name: "farFactor", Allowed: "1 to 1000", Help: "factor by which the run time of a task increases outside its preferred rack"},
		func(e *SiteEntry, value string) bool {
			f, err := strconv.ParseFloat(value, 64)
			e.FarFactor = f
			return err == nil && f >= 1 && f <= 1000
		}},
	{Key{Section: "planning", Name: "paces", Default: "ignored", Allowed: "ignored, considered", Help: "whether urgent work avoids VMs that are too slow for its objective"},
		oneOf(func(e *SiteEntry) *PaceMode { return &e.Paces }, PacesIgnored, PacesConsidered)},
	{Key{Section: "planning", Name: "neighbours", Default: "ignored", Allowed: "ignored, separated", Help: "whether tasks that slow each other down on one VM are kept apart where there is room"},
		oneOf(func(e *SiteEntry) *NeighbourMode { return &e.Neighbours }, NeighboursIgnored, NeighboursSeparated)},
	{Key{Section: "planning", Name: "apart", Optional: true, Allowed: pairsAllowed, Help: "pairs of kinds of tasks to keep apart, whatever is known of them"},
		neighbourOverrides(interference.KeepApart)},
	{Key{Section: "planning", Name: "together", Optional: true, Allowed: pairsAllowed, Help: "pairs of kinds of tasks not to keep apart, whatever is known of them"},
		neighbourOverrides(interference.AllowTogether)},
}...)

const (
	pairsAllowed = "with neighbours = separated: pairs such as `image ocr:3 + queue checks`, separated by commas, each in one of apart and together, at most 64 in all"
	maxPairs     = 64
)

// neighbourOverrides accepts pairs of kinds and adds an override with the decision for each.
func neighbourOverrides(d interference.Decision) func(*SiteEntry, string) bool {
	return func(e *SiteEntry, value string) bool {
		if value == "" {
			return true
		}
		for pair := range strings.SplitSeq(value, ",") {
			a, b, found := strings.Cut(pair, " + ")
			a, b = strings.TrimSpace(a), strings.TrimSpace(b)
			o := interference.NewOverride(a, b, d)
			known := slices.ContainsFunc(e.NeighbourOverrides, func(other interference.Override) bool { return other.Kinds == o.Kinds })
			if !found || known || !isKind(a) || !isKind(b) {
				return false
			}
			e.NeighbourOverrides = append(e.NeighbourOverrides, o)
		}
		return e.Neighbours == NeighboursSeparated && len(e.NeighbourOverrides) <= maxPairs
	}
}

// isKind reports whether the text names a kind of tasks as the planner does: by their image
// or, if they have none, by their queue.
func isKind(text string) bool {
	by, name, _ := strings.Cut(text, " ")
	return (by == "image" || by == "queue") && name != "" && !strings.ContainsAny(name, " \t+")
}

var siteAgentBindings = append(siteNodeBindings(func(a *SiteAgent) *SiteNode { return &a.SiteNode }), []binding[SiteAgent]{
	{Key{Section: "agent", Name: "workerAddress", Allowed: "IP:PORT", Help: "address of the worker on the agent's VM"},
		connectAddress(func(a *SiteAgent) *string { return &a.WorkerAddress })},
	{Key{Section: "agent", Name: "heartbeatAddress", Allowed: "IP:PORT", Help: "address to listen on for the worker's heartbeats"},
		connectAddress(func(a *SiteAgent) *string { return &a.HeartbeatAddress })},
	{Key{Section: "agent", Name: "heartbeatMs", Optional: true, Allowed: durationMsAllowed, Help: "time between two announcements of the worker, in ms"},
		durationMs(func(a *SiteAgent) *time.Duration { return &a.HeartbeatInterval })},
	{Key{Section: "agent", Name: "capacityGraceMs", Optional: true, Allowed: durationMsAllowed, Help: "how long, beyond heartbeatMs, a start may rely on capacity that the worker has lost, in ms"},
		durationMs(func(a *SiteAgent) *time.Duration { return &a.CapacityGrace })},
	{Key{Section: "agent", Name: "workerService", Optional: true, Allowed: "empty, or " + nameAllowed, Help: "service of the worker; announcements of any other are rejected, unless this is empty"},
		optionalName(func(a *SiteAgent) *string { return &a.WorkerService })},
}...)

// SiteEntryKeys lists the keys of an entry's settings on the users' platform.
func SiteEntryKeys() []Key { return keysOf(siteEntryBindings) }

// SiteAgentKeys lists the keys of an agent's settings on the users' platform.
func SiteAgentKeys() []Key { return keysOf(siteAgentBindings) }

// LoadSiteEntry reads the settings of an entry on the users' platform; see
// LoadEntry.
func LoadSiteEntry(path string, overrides map[string]string) (SiteEntry, error) {
	return load(path, overrides, siteEntryBindings)
}

// LoadSiteAgent reads the settings of an agent on the users' platform; see
// LoadEntry.
func LoadSiteAgent(path string, overrides map[string]string) (SiteAgent, error) {
	return load(path, overrides, siteAgentBindings)
}
