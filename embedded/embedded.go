// Package embedded starts a complete system in one process: a stand-in for the
// platform's log, entries, and agents with stand-in runtimes, which communicate
// over loopback sockets. The load command uses it. A System owns the parts that
// it starts; its methods are not safe for concurrent use.
package embedded

import (
	"context"
	"fmt"
	"time"

	"celerypoint.example/celerypoint/agentd"
	"celerypoint.example/celerypoint/configfold"
	"celerypoint.example/celerypoint/entryd"
	"celerypoint.example/celerypoint/org"
	"celerypoint.example/celerypoint/placement"
	"celerypoint.example/celerypoint/standinlog"
	"celerypoint.example/celerypoint/standinruntime"
	"celerypoint.example/celerypoint/vm"
)

// loopback is a listen address for which the system selects a free port.
const loopback = "127.0.0.1:0"

// Config configures a System. Zero values mean the defaults.
type Config struct {
	// Entries is the number of entries, default 2.
	Entries int
	// VMs is the number of VMs that run work, default 3; Accelerators is the
	// number on each, default 8; VMsPerRack is the number of VMs in a rack,
	// default 3; Zones is the number of availability zones, default 1.
	VMs, Accelerators, VMsPerRack, Zones int
	// Placement is the placement policy, default placement.PolicyAdjacent.
	Placement placement.Policy
}

func (c Config) withDefaults() Config {
	for _, f := range []struct {
		field *int
		value int
	}{{&c.Entries, 2}, {&c.VMs, 3}, {&c.Accelerators, 8}, {&c.VMsPerRack, 3}, {&c.Zones, 1}} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	if c.Placement == "" {
		c.Placement = placement.PolicyAdjacent
	}
	return c
}

// System is a running system. Agents and Runtimes have one element for each VM,
// in the same order.
type System struct {
	Log      *standinlog.Log
	Entries  []*entryd.Daemon
	Agents   []*agentd.Daemon
	Runtimes []*standinruntime.Runtime
}

// Start starts the system and returns once every entry is ready and knows
// every VM and every other entry, or when ctx ends.
func Start(ctx context.Context, c Config) (*System, error) {
	c = c.withDefaults()
	s := &System{}
	if err := s.start(c); err != nil {
		s.Kill()
		return nil, err
	}
	if err := s.awaitReady(ctx, c); err != nil {
		s.Kill()
		return nil, err
	}
	return s, nil
}

func (s *System) start(c Config) error {
	var err error
	if s.Log, err = standinlog.New(loopback); err != nil {
		return fmt.Errorf("embedded: log: %w", err)
	}
	var addresses []string
	for i := range c.Entries {
		config := entryd.DefaultConfig()
		config.ID, config.Zone, config.Region = fmt.Sprintf("entry%d", i+1), zone(i, c.Zones), "region1"
		config.RPCAddress, config.HTTPAddress, config.LogURL = loopback, loopback, s.Log.URL()
		config.Placement = c.Placement
		d, err := entryd.New(config)
		if err != nil {
			return fmt.Errorf("embedded: %w", err)
		}
		s.Entries = append(s.Entries, d)
		addresses = append(addresses, d.RPCAddress())
	}
	for i := range c.VMs {
		if err := s.startVM(c, i, addresses); err != nil {
			return fmt.Errorf("embedded: %w", err)
		}
	}
	return nil
}

func zone(i, zones int) string { return fmt.Sprintf("zone%d", i%zones+1) }

func (s *System) startVM(c Config, i int, addresses []string) error {
	id := fmt.Sprintf("vm%d", i+1)
	r, err := standinruntime.New(standinruntime.Config{Listen: loopback, VM: id, Accelerators: c.Accelerators})
	if err != nil {
		return err
	}
	s.Runtimes = append(s.Runtimes, r)
	rack := i / c.VMsPerRack
	a, err := agentd.New(agentd.Config{
		VM: vm.VM{
			ID: id, Zone: zone(rack, c.Zones), Rack: fmt.Sprintf("rack%d", rack+1), Region: "region1",
			Accelerators: c.Accelerators, Slots: 8, Connections: 64, CPUs: 32, MemoryMB: 128 << 10,
		},
		AnnounceTo: addresses, RuntimeURL: "http://" + r.Address(),
	})
	if err != nil {
		return err
	}
	s.Agents = append(s.Agents, a)
	return nil
}

// pollInterval is how often Start checks whether the system is ready, and
// PutOrg whether the entries know the organisation.
const pollInterval = 20 * time.Millisecond

func (s *System) awaitReady(ctx context.Context, c Config) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !s.ready(ctx, c) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("embedded: not ready: %w", ctx.Err())
		}
	}
	return nil
}

func (s *System) ready(ctx context.Context, c Config) bool {
	for _, e := range s.Entries {
		status, err := e.Status(ctx)
		if ready, _ := e.Ready(); err != nil || !ready || len(status.VMs) != c.VMs || len(status.Entries) != c.Entries {
			return false
		}
	}
	return true
}

// PutOrg creates an organisation and returns once every entry knows it. An
// organisation that exists already is an error.
func (s *System) PutOrg(ctx context.Context, o org.Org) error {
	result, err := s.Entries[0].Change(ctx, configfold.Record{Change: configfold.PutOrg{Org: o}})
	if err != nil {
		return fmt.Errorf("embedded: organisation %s: %w", o.Name, err)
	}
	accepted, ok := result.(configfold.Accepted)
	if !ok {
		return fmt.Errorf("embedded: organisation %s already exists", o.Name)
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for _, e := range s.Entries {
		for state, _ := e.Config(ctx); state.LastApplied < accepted.Version; state, _ = e.Config(ctx) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return fmt.Errorf("embedded: organisation %s: %w", o.Name, ctx.Err())
			}
		}
	}
	return nil
}

// Kill stops every part without a graceful shutdown.
func (s *System) Kill() {
	for _, e := range s.Entries {
		e.Kill()
	}
	for _, a := range s.Agents {
		a.Kill()
	}
	for _, r := range s.Runtimes {
		r.Close()
	}
	if s.Log != nil {
		s.Log.Close()
	}
}
