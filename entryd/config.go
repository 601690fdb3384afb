package entryd

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"celerypoint.example/celerypoint/connlimit"
	"celerypoint.example/celerypoint/placement"
)

// Config is the configuration of the entry process.
type Config struct {
	// ID is unique over all entries. It must not contain "~", which separates
	// the parts of job IDs.
	ID     string
	Zone   string
	Region string
	// RPCAddress and HTTPAddress are TCP addresses to listen on. The daemon
	// itself listens on RPCAddress only.
	RPCAddress  string
	HTTPAddress string
	// AdvertiseAddress is the RPC address that this entry reports to agents
	// and peers. If it is empty, the entry reports the address that it listens
	// on.
	AdvertiseAddress string
	// Seeds are RPC addresses of other entries. The list may be empty, because
	// entries also learn of one another from the agents.
	Seeds []string
	// LogURL is the base URL of the platform's log service.
	LogURL string
	// ConnectionLimits bounds what RPC connections use together; zero means
	// rpc.DefaultLimits.
	ConnectionLimits connlimit.Limits

	// Placement is the policy by which the planner chooses VMs.
	Placement placement.Policy
	// UrgentQueue, NormalQueue and BatchQueue are the queue limits of the
	// urgencies. A recorded job is refused when that many recorded jobs of its
	// urgency wait. A short request is refused when that many short requests of
	// this entry have no outcome. For jobs of organisations whose org.Org.ShedRank
	// is above 0 the limits are lower; see package admission.
	UrgentQueue, NormalQueue, BatchQueue int
	// Workers is the number of workers of the pool for work that does not wait
	// for the log.
	Workers int

	// VMLostTimeout is the time without an announcement after which a VM
	// counts as lost.
	VMLostTimeout time.Duration
	// PeerLostTimeout is the time without a hello after which a peer counts as
	// lost.
	PeerLostTimeout time.Duration
	// HelloInterval is the time between two hellos, the heartbeat messages
	// that entries send each other.
	HelloInterval time.Duration
	// Reservation is how long the VMs of an attempt stay reserved until the
	// start. Reclaim is added to it when tasks that borrow the accelerators have
	// to be evicted first.
	Reservation time.Duration
	// GangLease is how long a VM may run its part of a gang without a renewal
	// by the planner.
	GangLease time.Duration
	// ConfirmEvery is the shortest time from the start of one round to the start
	// of the next. In a round, the planner asks the members of a gang whether
	// they still run.
	ConfirmEvery time.Duration
	// Reclaim is the time in which agents evict tasks that borrow accelerators
	// of other organisations. It also bounds the wait for the reply to a
	// release.
	Reclaim time.Duration
	// BalancerDelay is the time that a stopping entry gives the load balancer
	// to notice that it is not ready, before it refuses requests.
	BalancerDelay time.Duration
}

// DefaultConfig returns the defaults of all settings that have one. New does not
// fill them in for zero values. The loss of a planner is noticed after
// PeerLostTimeout, and its last renewal of the leases may be ConfirmEvery older
// than the loss. Its successor has to renew them within GangLease of that renewal.
// PeerLostTimeout plus ConfirmEvery must therefore be less than GangLease.
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

func (c Config) validate() error {
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

// Option overrides a default of New.
type Option func(*Daemon)

// WithLogger sets the logger. The default discards all messages.
func WithLogger(l *logrus.Logger) Option { return func(d *Daemon) { d.logger = l } }

// WithMetrics sets the metrics registry. The default is a new registry.
func WithMetrics(r metrics.Registry) Option { return func(d *Daemon) { d.metrics = r } }
