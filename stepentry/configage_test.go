package stepentry

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"celerypoint.example/celerypoint/access"
	"celerypoint.example/celerypoint/boottime"
	"celerypoint.example/celerypoint/counters"
	"celerypoint.example/celerypoint/eventlog"
	"celerypoint.example/celerypoint/platform"
	"celerypoint.example/celerypoint/recordlog"
	"celerypoint.example/celerypoint/standinstore"
	"celerypoint.example/celerypoint/wire"
)

const publicQueue = `{"version":3,"routes":[{"name":"q","host":"h","path_prefix":"/q/","public":true}]}`

// TestOldConfigurationIsConfirmed guards against refusals that one read avoids, and waits for a store known to be down.
func TestOldConfigurationIsConfirmed(t *testing.T) {
	c := qt.New(t)
	store, err := standinstore.New("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer store.Close()
	store.Put("keyed.op", "config", []byte(publicQueue))
	d, err := New(Config{
		Name: "e", Listen: "127.0.0.1:0", Topic: "t", ConfigTopic: platform.TopicConfiguration, Log: platform.NewStore(store.Address()),
		DecodeOperator: platform.DecodeOperatorRecord, KeyGrace: time.Minute, MaxConfigAge: 100 * time.Millisecond,
	})
	c.Assert(err, qt.IsNil)
	defer d.Kill()
	for deadline := time.Now().Add(10 * time.Second); d.Admit("h", "/q/", "").Denial != ""; time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
	for begun := time.Now(); time.Since(begun) < 2*time.Second; time.Sleep(40 * time.Millisecond) {
		c.Assert(d.Admit("h", "/q/", "").Denial, qt.Equals, access.Denial(""))
	}
	c.Check(metrics.GetOrRegisterCounter("configurationConfirm", d.Metrics()).Count() > 0, qt.IsTrue)

	store.SetFaults(standinstore.Faults{Down: true})
	for deadline := time.Now().Add(10 * time.Second); !d.configState().readFailing; time.Sleep(5 * time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
	time.Sleep(150 * time.Millisecond)
	begun := time.Now()
	c.Check(d.Admit("h", "/q/", "").Denial, qt.Equals, access.DeniedStaleConfig)
	c.Check(time.Since(begun) < confirmTimeout/2, qt.IsTrue, qt.Commentf("refused after %v", time.Since(begun)))
}

// TestReadBehindPeerIsNotUpToDate guards against reads that count as current without a version which a peer has named.
func TestReadBehindPeerIsNotUpToDate(t *testing.T) {
	c := qt.New(t)
	before := boottime.Now()
	d := &Daemon{
		counters: counters.New(), log: eventlog.New(io.Discard, "e", nil),
		config: configTable{known: true, current: access.Config{Version: 7}, currentAsOf: before.Add(-time.Second), wake: make(chan struct{}, 1)},
	}
	defer d.log.Close()
	c.Assert(d.confirmConfig(wire.PlannerPong{ConfigVersion: 8}, boottime.Now()), qt.IsFalse)
	c.Assert(d.config.wake, qt.HasLen, 1)
	d.configUpToDate(boottime.Now())
	c.Check(d.config.currentAsOf, qt.Equals, before.Add(-time.Second))
	// A read that began before the pong arrived may be right.
	d.configUpToDate(before)
	c.Check(d.config.currentAsOf, qt.Equals, before)
	d.applyConfigVersion(access.Config{Version: 8}, recordlog.StoredRecord{Offset: 5})
	now := boottime.Now()
	d.configUpToDate(now)
	c.Check(d.config.currentAsOf, qt.Equals, now)
}
