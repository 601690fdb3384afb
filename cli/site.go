package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rcrowley/go-metrics"

	"celerypoint.example/celerypoint/balancer"
	"celerypoint.example/celerypoint/connlimit"
	"celerypoint.example/celerypoint/connreport"
	"celerypoint.example/celerypoint/counters"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/settings"
	"celerypoint.example/celerypoint/stepagent"
	"celerypoint.example/celerypoint/stepentry"
	"celerypoint.example/celerypoint/stepplan"
)

const (
	// recordsTopic is the topic of the platform's store to which celerypoint
	// writes its own records.
	recordsTopic = "celerypoint"
	// clientHandlers limits the client requests that are handled at the same
	// time. Each of them may wait for the store.
	clientHandlers = 256
	// probeHandlers limits the requests that each of the servers for readiness,
	// metrics and heartbeats handles at the same time. Their handlers do not
	// block.
	probeHandlers = 4
	// clientBody, heartbeatBody and probeBody bound the bodies of requests. Package platform
	// answers those of clients and workers that exceed its own, lower bounds.
	clientBody    = 1 << 20
	heartbeatBody = 128 << 10
	probeBody     = 4 << 10
	// memoryLimitPercent is the percentage of the settings' memoryMB that is
	// set as the memory limit of the Go runtime, above which garbage collection
	// runs more often.
	memoryLimitPercent = 60
	// leasePercent is the percentage of the setting leaseMs that an entry uses
	// as the lease duration of workers. keyGracePercent is the percentage of the
	// setting keyGraceMs for which it accepts an API key after its removal. In
	// both cases the remainder is a margin for timers that fire late.
	leasePercent    = 92
	keyGracePercent = 80
	// configAgePercent is the percentage of the setting configApplyMs for which an entry
	// decides by a version that is not known to be the newest. The remainder is a margin for
	// clocks that run at different rates.
	configAgePercent = 95
	// stopMargin is the time that is left before SIGKILL when the time limit of a
	// graceful stop is reached. An entry's ShutdownDelay ends one more stopMargin
	// earlier.
	stopMargin = 700 * time.Millisecond
	// closeTimeout limits how long closing an HTTP server may take.
	closeTimeout = 200 * time.Millisecond
)

func (p *program) siteCommand() *ffcli.Command {
	return p.group("site", "run a role on the users' platform, or ask one",
		p.siteEntryCommand(), p.siteAgentCommand(), p.siteExplainCommand(), p.siteNeighboursCommand())
}

func (p *program) siteEntryCommand() *ffcli.Command {
	fs := p.flags("site entry")
	path := fs.String("settings", "", "INI `FILE` with the settings")
	overrides := settingFlags(fs, settings.SiteEntryKeys())
	return command(fs, "", "run an entry on the users' platform until SIGTERM, which stops it gracefully", "celerypoint site entry --settings /etc/celerypoint/entry.ini",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			s, err := settings.LoadSiteEntry(*path, overrides())
			if err != nil {
				return usageError{err}
			}
			load := func() (settings.SiteEntry, error) { return settings.LoadSiteEntry(*path, overrides()) }
			return p.runSiteEntry(ctx, s, *path, load)
		})
}

func (p *program) siteAgentCommand() *ffcli.Command {
	fs := p.flags("site agent")
	path := fs.String("settings", "", "INI `FILE` with the settings")
	overrides := settingFlags(fs, settings.SiteAgentKeys())
	return command(fs, "", "run the agent of a worker on the users' platform until SIGTERM, which stops it gracefully", "celerypoint site agent --settings /etc/celerypoint/agent.ini",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			s, err := settings.LoadSiteAgent(*path, overrides())
			if err != nil {
				return usageError{err}
			}
			load := func() (settings.SiteAgent, error) { return settings.LoadSiteAgent(*path, overrides()) }
			return p.runSiteAgent(ctx, s, *path, load)
		})
}

// limitProcess limits the Go runtime to one core and to memoryLimitPercent of the
// given memory, so that the process fits on a small VM.
func limitProcess(memoryMiB int) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryMiB) << 20 * memoryLimitPercent / 100)
}

// siteEntryConfig converts the settings of an entry on the users' platform to the
// configuration of its daemon.
func siteEntryConfig(s settings.SiteEntry, l processLimits) stepentry.Config {
	return stepentry.Config{
		ConnectionLimits: l.peers,
		Name:             s.Name, Zone: s.Zone, Listen: s.Address(), Advertise: s.AdvertiseAddress, Topic: recordsTopic, ConfigTopic: platform.TopicConfiguration,
		Log: platform.NewStore(s.StoreAddress), DecodeOperator: platform.DecodeOperatorRecord,
		Timing: stepplan.Timing{
			LeaseDuration: s.MaxLease * leasePercent / 100, KeepStatus: s.KeepStatus, MaxStopTime: s.MaxStopTime, MaxReclaimTime: s.MaxReclaimTime, FarFactor: s.FarFactor,
		},
		Policy:   stepplan.Policy{Paces: s.Paces == settings.PacesConsidered, Neighbours: s.Neighbours == settings.NeighboursSeparated, NeighbourOverrides: s.NeighbourOverrides},
		CPUShare: s.CPUShare, KeyGrace: s.KeyGrace * keyGracePercent / 100, MaxConfigAge: s.ConfigApply * configAgePercent / 100, ShutdownDelay: s.TerminationGrace - 2*stopMargin,
	}
}

func (p *program) runSiteEntry(ctx context.Context, s settings.SiteEntry, path string, load func() (settings.SiteEntry, error)) error {
	limitProcess(s.MemoryMiB)
	descriptors, err := descriptorsOf(s.Descriptors)
	if err != nil {
		return err
	}
	limits := limitsOf(s.MemoryMiB, descriptors)
	// SIGHUP must not end the process before watchSettings handles it.
	signal.Ignore(syscall.SIGHUP)
	d, err := stepentry.New(siteEntryConfig(s, limits), stepentry.WithOutput(p.stdout))
	if err != nil {
		return err
	}
	var events eventSink
	events.start(p.stdout, s.Name, d.Metrics())
	defer events.stop()
	servers, err := serveAll(&events,
		server{"clients", s.ClientAddress, clientHandlers, clientBody, limits.clients, platform.ClientHandler(d)},
		server{"readiness", s.ReadinessAddress, probeHandlers, probeBody, limits.probes, platform.ReadinessHandler(d)},
		server{"metrics", s.MetricsAddress(), probeHandlers, clientBody, limits.probes, internalHandler(d)},
	)
	if err != nil {
		d.Kill()
		return err
	}
	watchSettings(ctx, path, func(cause string) {
		next, err := load()
		if err != nil {
			d.LogReload(cause, err)
			return
		}
		d.Reload(siteEntryConfig(next, limits), cause)
	})
	err = stop(ctx, s.TerminationGrace-stopMargin, d.Stop)
	closeAll(servers)
	return err
}

// siteAgentConfig converts the settings of an agent on the users' platform to the
// configuration of its daemon.
func siteAgentConfig(s settings.SiteAgent, w *platform.Worker, l processLimits) stepagent.Config {
	c := stepagent.Config{
		ConnectionLimits: l.peers,
		Name:             s.Name, Zone: s.Zone, Listen: s.Address(), Advertise: s.AdvertiseAddress, Topic: recordsTopic,
		Log: platform.NewStore(s.StoreAddress), Worker: w,
	}
	if s.HeartbeatInterval > 0 && s.CapacityGrace > 0 {
		c.AnnouncementValidity = stepagent.AnnouncementValidity(s.HeartbeatInterval, s.CapacityGrace)
	}
	return c
}

func (p *program) runSiteAgent(ctx context.Context, s settings.SiteAgent, path string, load func() (settings.SiteAgent, error)) error {
	limitProcess(s.MemoryMiB)
	descriptors, err := descriptorsOf(s.Descriptors)
	if err != nil {
		return err
	}
	limits := limitsOf(s.MemoryMiB, descriptors)
	// SIGHUP must not end the process before watchSettings handles it.
	signal.Ignore(syscall.SIGHUP)
	var events eventSink
	w := platform.NewWorker(s.WorkerAddress, platform.WithUnreadableRowHandler(func(cause error) {
		events.add("statusRowUnreadable", eventlog.Fields{"cause": cause.Error()})
	}))
	d, err := stepagent.New(siteAgentConfig(s, w, limits), stepagent.WithOutput(p.stdout))
	if err != nil {
		return err
	}
	events.start(p.stdout, s.Name, d.Metrics())
	defer events.stop()
	var service atomic.Value
	service.Store(s.WorkerService)
	heartbeats := platform.HeartbeatHandler(d,
		platform.WithService(func() string { return service.Load().(string) }),
		platform.WithRejectionHandler(func(request string, cause error) {
			events.add("announcementRejected", eventlog.Fields{"request": request, "cause": cause.Error()})
		}))
	servers, err := serveAll(&events,
		server{"heartbeats", s.HeartbeatAddress, probeHandlers, heartbeatBody, limits.probes, heartbeats},
		server{"metrics", s.MetricsAddress(), probeHandlers, probeBody, limits.probes, balancer.Metrics(d.Metrics())},
	)
	if err != nil {
		d.Kill()
		return err
	}
	watchSettings(ctx, path, func(cause string) {
		next, err := load()
		if err == nil {
			service.Store(next.WorkerService)
		}
		d.LogReload(cause, err)
	})
	err = stop(ctx, s.TerminationGrace-stopMargin, d.Stop)
	closeAll(servers)
	return err
}

// eventSink counts and logs what a process's HTTP servers and clients find wrong with their
// peers' input. It ignores events before start and after stop.
type eventSink struct {
	out atomic.Pointer[eventOutput]
}

type eventOutput struct {
	log      *eventlog.Log
	counters counters.Counters
}

// start lets events be counted in the registry and logged on w. process names the process.
func (e *eventSink) start(w io.Writer, process string, registry metrics.Registry) {
	e.out.Store(&eventOutput{eventlog.New(w, process, registry), counters.Counters{Registry: registry}})
}

// stop writes the lines that are queued. No server of the process may run any more.
func (e *eventSink) stop() {
	if out := e.out.Swap(nil); out != nil {
		out.log.Close()
	}
}

func (e *eventSink) add(kind string, fields eventlog.Fields) {
	if out := e.out.Load(); out != nil {
		out.counters.Count(kind)
		out.log.Add(kind, fields)
	}
}

// addRefusal counts and logs what the server of the given name has refused.
func (e *eventSink) addRefusal(server string, r connlimit.Refusal) {
	if out := e.out.Load(); out != nil {
		out.report().Refused(server, r)
	}
}

// addGauges registers the gauges of a server; see connreport.
func (e *eventSink) addGauges(server string, usage func() (connections int, heldBytes, activeBytes int64)) {
	if out := e.out.Load(); out != nil {
		out.report().AddGauges(server, usage)
	}
}

func (o *eventOutput) report() connreport.Report {
	return connreport.Report{Counters: o.counters, Log: o.log}
}

// server describes an HTTP server of a process. At most handlers requests run at
// the same time, and a body has at most maxBody bytes. name is that in counters and log lines.
type server struct {
	name     string
	address  string
	handlers int
	maxBody  int
	limits   connlimit.Limits
	handler  http.Handler
}

// serveAll starts the servers. Panics of their handlers are counted and logged in events.
func serveAll(events *eventSink, all ...server) ([]*httpserver.Server, error) {
	var running []*httpserver.Server
	for _, s := range all {
		h, err := httpserver.New(s.address, s.handlers, s.handler, httpserver.WithMaxBody(s.maxBody), httpserver.WithLimits(s.limits),
			httpserver.WithRefusalHandler(func(r connlimit.Refusal) { events.addRefusal(s.name, r) }),
			httpserver.WithPanicHandler(func(r *http.Request, v any, stack []byte) {
				events.add("panicRecovered", eventlog.Fields{"during": fmt.Sprintf("%s %.80q", r.Method, r.URL.Path), "cause": fmt.Sprint(v), "stack": string(stack)})
			}))
		if err != nil {
			closeAll(running)
			return nil, err
		}
		events.addGauges(s.name, h.Usage)
		running = append(running, h)
	}
	return running, nil
}

func closeAll(servers []*httpserver.Server) {
	for _, s := range servers {
		s.Close(closeTimeout)
	}
}
