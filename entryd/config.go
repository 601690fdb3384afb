package entryd

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/placement"
)

// Config is what an entry needs to know. Spans are turned into deadlines when
// they are used.
type Config struct {
	// ID is unique over all entries and has no "~".
	ID     string
	Zone   string
	Region string
	// RPCAddress and HTTPAddress are TCP addresses to listen on.
	RPCAddress  string
	HTTPAddress string
	// AdvertiseAddress is the RPC address that agents and peers are told. The
	// default is the address that the entry listens on.
	AdvertiseAddress string
	// Seeds are RPC addresses of other entries. They may be empty: entries
	// learn of one another from the agents.
	Seeds  []string
	LogURL string

	Placement placement.Policy
	// UrgentQueue, NormalQueue and BatchQueue bound the requests that wait in
	// each lane.
	UrgentQueue, NormalQueue, BatchQueue int
	// Workers is the number of pool workers.
	Workers int

	VMLostTimeout   time.Duration
	PeerLostTimeout time.Duration
	HelloInterval   time.Duration
	Reservation     time.Duration
	GangLease       time.Duration
	ConfirmEvery    time.Duration
	Reclaim         time.Duration
	BalancerDelay   time.Duration
}

// DefaultConfig holds the defaults of every setting that has one. A lost
// planner is noticed after PeerLost, and its successor has to renew the gangs
// within GangLease of the last renewal, so PeerLost plus ConfirmEvery stays
// below GangLease.
func DefaultConfig() Config {
	return Config{
		Placement:   placement.PolicyAdjacent,
		UrgentQueue: 4096, NormalQueue: 4096, BatchQueue: 4096,
		Workers:       32,
		VMLostTimeout: 4 * time.Second, PeerLostTimeout: 2 * time.Second, HelloInterval: 500 * time.Millisecond,
		Reservation: 3 * time.Second, GangLease: 4 * time.Second, ConfirmEvery: time.Second,
		Reclaim: 5 * time.Second, BalancerDelay: time.Second,
	}
}

func (c Config) check() error {
	switch {
	case c.ID == "" || c.Zone == "" || c.Region == "":
		return fmt.Errorf("entry: found id=%q zone=%q region=%q, allowed: none empty", c.ID, c.Zone, c.Region)
	case c.PeerLostTimeout+c.ConfirmEvery >= c.GangLease:
		return fmt.Errorf("entry: found peerLost=%s confirmEvery=%s gangLease=%s, allowed: the sum of the first two below the third", c.PeerLostTimeout, c.ConfirmEvery, c.GangLease)
	case c.Workers < 1:
		return fmt.Errorf("entry: found workers=%d, allowed: at least 1", c.Workers)
	}
	return nil
}

// Option sets what tests and embedders replace.
type Option func(*Daemon)

// WithLogger sets the logger; the default discards.
func WithLogger(l *logrus.Logger) Option { return func(d *Daemon) { d.logger = l } }

// WithMetrics sets the registry of counters; the default is a new one.
func WithMetrics(r metrics.Registry) Option { return func(d *Daemon) { d.metrics = r } }
