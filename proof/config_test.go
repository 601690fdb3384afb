package proof

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/wire"
)

// configBound is the time after which an accepted change is in force
// everywhere.
const configBound = 5 * time.Second

// acceptedChange is a change that an operator was told is accepted.
type acceptedChange struct {
	operator, number, based, version int
	at                               time.Time
}

// TestRacingOperators guards against two winners of one version, an accepted
// change that is lost or reverts, and one that is not in force in time, while
// operators race through several entries, the log is down for a while and
// entries restart.
func TestRacingOperators(t *testing.T) {
	const operators, changes = 6, 12
	c := startCluster(t, 3, vmsIn(1))
	var mu sync.Mutex
	var won []acceptedChange
	conflicts, failures := 0, 0
	var group sync.WaitGroup
	for o := range operators {
		group.Go(func() {
			for n := range changes {
				e := c.entries[(o+n)%len(c.entries)]
				based, err := c.version(e, "vm/v1")
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				change := wire.ConfigChange{
					ID: fmt.Sprintf("change-%d-%d", o, n), Kind: wire.ConfigKindPutLabels, Object: "vm/v1", BasedOn: based,
					Labels: map[string]string{"by": fmt.Sprintf("%d-%d", o, n)},
				}
				code, accepted, _, err := c.change(e, change)
				mu.Lock()
				switch {
				case err == nil && code == http.StatusOK:
					won = append(won, acceptedChange{o, n, based, accepted.Version, time.Now()})
				case err == nil && code == http.StatusConflict:
					conflicts++
				default:
					failures++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	c.logFaults(wire.LogFaults{LoseAnswers: 4})
	time.Sleep(400 * time.Millisecond)
	c.logFaults(wire.LogFaults{Down: true})
	time.Sleep(500 * time.Millisecond)
	c.entries[1].process.kill()
	c.logFaults(wire.LogFaults{})
	c.startEntry(c.entries[1])
	group.Wait()
	c.waitReady()
	c.Logf("accepted %d, conflicts %d, not carried out or unknown %d", len(won), conflicts, failures)
	c.Assert(len(won) > 0, qt.IsTrue)
	c.Check(conflicts > 0, qt.IsTrue)
	last := won[0]
	based := map[int]acceptedChange{}
	for _, w := range won {
		if other, twice := based[w.based]; twice {
			c.Errorf("two changes based on version %d were accepted: %+v and %+v", w.based, other, w)
		}
		based[w.based] = w
		if w.version > last.version {
			last = w
		}
	}
	for _, e := range c.entries {
		c.eventually(configBound, "the newest accepted change is in force at "+e.id, func() error {
			got, err := c.version(e, "vm/v1")
			if err == nil && got < last.version {
				err = fmt.Errorf("version %d, want at least %d", got, last.version)
			}
			return err
		})
	}
	c.checkHistory(won)
}

// checkHistory compares what operators were told with the folded history of
// every entry.
func (c *cluster) checkHistory(won []acceptedChange) {
	c.Helper()
	for _, e := range c.entries {
		var view wire.ConfigView
		c.Assert(getJSON("http://"+e.http+"/v1/config?from=1", &view), qt.IsNil)
		accepted := map[int]bool{}
		for _, h := range view.History {
			accepted[h.Offset] = h.Accepted
		}
		for _, w := range won {
			if !accepted[w.version] {
				c.Errorf("%s: change %d-%d was accepted with version %d, which its history does not show as accepted", e.id, w.operator, w.number, w.version)
			}
		}
	}
}

// version is the version of an object in force at an entry, 0 for none.
func (c *cluster) version(e *entryNode, object string) (int, error) {
	var view wire.ConfigView
	if err := getJSON("http://"+e.http+"/v1/config", &view); err != nil {
		return 0, err
	}
	for _, o := range view.Objects {
		if o.Object == object {
			return o.Version, nil
		}
	}
	return 0, nil
}
