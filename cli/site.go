package cli

import (
	"context"
	"net/http"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"celerypoint.example/celerypoint/balancer"
	"celerypoint.example/celerypoint/httpserver"
	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/settings"
	"celerypoint.example/celerypoint/stepagent"
	"celerypoint.example/celerypoint/stepentry"
	"celerypoint.example/celerypoint/stepplan"
)

const (
	// topicRecords is the topic of the system's own records.
	topicRecords = "celerypoint"
	// clientHandlers bounds the clients' requests that are handled at once;
	// each may wait for the store.
	clientHandlers = 256
	// probeHandlers serve readiness, metrics and heartbeats, and wait for
	// nothing.
	probeHandlers = 4
	// memoryShare is the part of the VM's memory at which the collector works
	// harder, in percent.
	memoryShare = 60
	// grantShare is the part of the longest lease that is asked for, and
	// keyShare the part of the time for which a removed key may be honoured, in
	// percent. The rest allows for late timers.
	grantShare = 92
	keyShare   = 80
	// killMargin is left between the end of a stop and the kill.
	killMargin = 700 * time.Millisecond
	// closeTimeout bounds the closing of listeners.
	closeTimeout = 200 * time.Millisecond
)

func (p *program) siteCommand() *ffcli.Command {
	return p.group("site", "run a role on the users' platform",
		p.siteEntryCommand(), p.siteAgentCommand())
}

func (p *program) siteEntryCommand() *ffcli.Command {
	fs := p.flags("site entry")
	path := fs.String("settings", "", "INI `FILE` with the settings")
	overrides := settingFlags(fs, settings.SiteEntryKeys())
	return command(fs, "", "run an entry on the platform until SIGTERM, which stops it gracefully", "celerypoint site entry --settings /etc/celerypoint/entry.ini",
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
	return command(fs, "", "run the agent beside a worker on the platform until SIGTERM, which stops it gracefully", "celerypoint site agent --settings /etc/celerypoint/agent.ini",
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

// limitProcess fits the process to a small VM with one core.
func limitProcess(memoryMB int) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryMB) << 20 * memoryShare / 100)
}

// siteEntryConfig translates the settings of an entry on the platform.
func siteEntryConfig(s settings.SiteEntry) stepentry.Config {
	return stepentry.Config{
		Name: s.Name, Zone: s.Zone, Listen: s.Address(), Advertise: s.AdvertiseAddress, Topic: topicRecords, ConfigTopic: platform.TopicConfiguration,
		Log: platform.NewStore(s.StoreAddress), DecodeConfig: platform.DecodeConfiguration,
		Timing: stepplan.Timing{
			LeaseDuration: s.MaxLease * grantShare / 100, KeepStatus: s.KeepStatus, MaxStopTime: s.MaxStopTime, MaxReclaimTime: s.MaxReclaimTime, FarFactor: s.FarFactor,
		},
		KeyGrace: s.KeyGrace * keyShare / 100, ShutdownDelay: s.KillDelay - 2*killMargin,
	}
}

func (p *program) runSiteEntry(ctx context.Context, s settings.SiteEntry, path string, load func() (settings.SiteEntry, error)) error {
	limitProcess(s.MemoryMB)
	// A hangup must not end the process while it starts.
	signal.Ignore(syscall.SIGHUP)
	d, err := stepentry.New(siteEntryConfig(s), stepentry.WithOutput(p.stdout))
	if err != nil {
		return err
	}
	servers, err := serveAll(
		server{s.ClientAddress, clientHandlers, platform.ClientHandler(d)},
		server{s.ReadinessAddress, probeHandlers, platform.ReadinessHandler(d)},
		server{s.MetricsAddress(), probeHandlers, balancer.Metrics(d.Metrics())},
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
		d.Reload(siteEntryConfig(next), cause)
	})
	err = stop(ctx, s.KillDelay-killMargin, d.Stop)
	closeAll(servers)
	return err
}

func (p *program) runSiteAgent(ctx context.Context, s settings.SiteAgent, path string, load func() (settings.SiteAgent, error)) error {
	limitProcess(s.MemoryMB)
	// A hangup must not end the process while it starts.
	signal.Ignore(syscall.SIGHUP)
	d, err := stepagent.New(stepagent.Config{
		Name: s.Name, Zone: s.Zone, Listen: s.Address(), Advertise: s.AdvertiseAddress, Topic: topicRecords,
		Log: platform.NewStore(s.StoreAddress), Worker: platform.NewWorker(s.WorkerAddress),
	}, stepagent.WithOutput(p.stdout))
	if err != nil {
		return err
	}
	servers, err := serveAll(
		server{s.HeartbeatAddress, probeHandlers, platform.HeartbeatHandler(d)},
		server{s.MetricsAddress(), probeHandlers, balancer.Metrics(d.Metrics())},
	)
	if err != nil {
		d.Kill()
		return err
	}
	watchSettings(ctx, path, func(cause string) {
		_, err := load()
		d.LogReload(cause, err)
	})
	err = stop(ctx, s.KillDelay-killMargin, d.Stop)
	closeAll(servers)
	return err
}

// server is one listener of a process.
type server struct {
	address  string
	handlers int
	handler  http.Handler
}

func serveAll(all ...server) ([]*httpserver.Server, error) {
	var running []*httpserver.Server
	for _, s := range all {
		h, err := httpserver.New(s.address, s.handlers, s.handler)
		if err != nil {
			closeAll(running)
			return nil, err
		}
		running = append(running, h)
	}
	return running, nil
}

func closeAll(servers []*httpserver.Server) {
	for _, s := range servers {
		s.Close(closeTimeout)
	}
}
