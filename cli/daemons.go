package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/agentd"
	"celerypoint.example/celerypoint/entryd"
	"celerypoint.example/celerypoint/frontend"
	"celerypoint.example/celerypoint/ledger"
	"celerypoint.example/celerypoint/nbiosetup"
	"celerypoint.example/celerypoint/settings"
	"celerypoint.example/celerypoint/vm"
)

// settingFlags adds a flag for each key. The function that it returns gives the
// values that were set by a flag or an environment variable, by flag name.
func settingFlags(fs *flag.FlagSet, keys []settings.Key) func() map[string]string {
	for _, k := range keys {
		usage := k.Help + "; allowed: " + k.Allowed
		if k.Default != "" {
			usage += "; default: " + k.Default
		}
		fs.String(k.Flag(), "", usage)
	}
	return func() map[string]string {
		overrides := map[string]string{}
		fs.Visit(func(f *flag.Flag) {
			if f.Name != "settings" {
				overrides[f.Name] = f.Value.String()
			}
		})
		return overrides
	}
}

func (p *program) entryCommand() *ffcli.Command {
	fs := p.flags("entry")
	path := fs.String("settings", "", "INI `FILE` with the settings")
	overrides := settingFlags(fs, settings.EntryKeys())
	return command(fs, "", "run an entry until SIGTERM, which stops it gracefully", "celerypoint entry --settings /etc/celerypoint/entry.ini --entry.id entry-a1",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			s, err := settings.LoadEntry(*path, overrides())
			if err != nil {
				return usageError{err}
			}
			return p.runEntry(ctx, s)
		})
}

func (p *program) agentCommand() *ffcli.Command {
	fs := p.flags("agent")
	path := fs.String("settings", "", "INI `FILE` with the settings")
	overrides := settingFlags(fs, settings.AgentKeys())
	return command(fs, "", "run the agent of a worker VM until SIGTERM, which stops it gracefully", "celerypoint agent --settings /etc/celerypoint/agent.ini --agent.vm worker-01",
		func(ctx context.Context, args []string) error {
			if err := arguments(args); err != nil {
				return err
			}
			s, err := settings.LoadAgent(*path, overrides())
			if err != nil {
				return usageError{err}
			}
			return p.runAgent(ctx, s)
		})
}

// entryConfig converts the settings of an entry to the configuration of its daemon.
func entryConfig(s settings.Entry, l processLimits) entryd.Config {
	return entryd.Config{
		ConnectionLimits: l.peers,
		ID:               s.ID, Zone: s.Zone, Region: s.Region,
		RPCAddress: s.RPCAddress, HTTPAddress: s.HTTPAddress, AdvertiseAddress: s.AdvertiseAddress, Seeds: s.Seeds, LogURL: s.LogURL,
		Placement: s.Placement, UrgentQueue: s.UrgentQueue, NormalQueue: s.NormalQueue, BatchQueue: s.BatchQueue, Workers: s.Workers,
		VMLostTimeout: s.VMLostTimeout, PeerLostTimeout: s.PeerLostTimeout, HelloInterval: s.HelloInterval, Reservation: s.Reservation, GangLease: s.GangLease,
		ConfirmEvery: s.ConfirmInterval, Reclaim: s.Reclaim, BalancerDelay: s.BalancerDelay,
	}
}

func (p *program) runEntry(ctx context.Context, s settings.Entry) error {
	logger, err := p.logger(s.LogLevel)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(s.MemoryMiB) << 20 * memoryLimitPercent / 100)
	descriptors, err := descriptorsOf(nbiosetup.MaxOpenFiles)
	if err != nil {
		return err
	}
	limits := ownLimitsOf(s.MemoryMiB, descriptors)
	d, err := entryd.New(entryConfig(s, limits), entryd.WithLogger(logger))
	if err != nil {
		return err
	}
	f, err := frontend.New(s.HTTPAddress, d, frontend.WithLimits(limits.clients))
	if err != nil {
		d.Kill()
		return err
	}
	logger.WithFields(logrus.Fields{"entry": s.ID, "rpc": d.RPCAddress(), "http": f.Address()}).Info("entry is listening")
	<-ctx.Done()
	return stop(ctx, s.StopTimeout, f.Stop)
}

// stop calls f, a daemon's graceful stop, with a context that ends after timeout.
// The context keeps the values of ctx, which has already ended.
func stop(ctx context.Context, timeout time.Duration, f func(context.Context) error) error {
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	if err := f(stopCtx); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// agentConfig converts the settings of an agent to the configuration of its daemon.
func agentConfig(s settings.Agent) agentd.Config {
	timing := ledger.DefaultTiming
	timing.Reclaim, timing.Checkpoint = s.Reclaim, s.Checkpoint
	// The ledger requires CompletionGrace, which lets an evicted attempt finish
	// if it is about to end, to be shorter than Checkpoint.
	timing.CompletionGrace = min(timing.CompletionGrace, s.Checkpoint/2)
	return agentd.Config{
		VM: vm.VM{
			ID: s.VM, Zone: s.Zone, Rack: s.Rack, Region: s.Region, Labels: s.Labels,
			Accelerators: s.Accelerators, Slots: s.Slots, Connections: s.Connections, CPUs: s.CPUs, MemoryMB: s.MemoryMiB,
		},
		AnnounceTo: s.AnnounceTo, RuntimeURL: s.RuntimeURL, AnnounceInterval: s.AnnounceInterval,
		Ledger: timing, AnswerRetention: s.AnswerRetention,
	}
}

func (p *program) runAgent(ctx context.Context, s settings.Agent) error {
	logger, err := p.logger(s.LogLevel)
	if err != nil {
		return err
	}
	d, err := agentd.New(agentConfig(s), agentd.WithLogger(logger))
	if err != nil {
		return err
	}
	<-ctx.Done()
	return stop(ctx, s.StopTimeout, d.Stop)
}

// logger returns a logger that writes to standard error.
func (p *program) logger(level string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(p.stderr)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logging level: %w", err)
	}
	l.SetLevel(parsed)
	return l, nil
}
