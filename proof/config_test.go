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

// configBound is the longest time until an accepted change is in force at every
// entry.
const configBound = 5 * time.Second

// acceptedChange is a configuration change that an operator was told is
// accepted. number counts the changes of the operator, basedOn is the version
// on which the change is based, and version is the one that it got, which is the
// offset of its record in the log.
type acceptedChange struct {
	operator, number, basedOn, version int
	acceptedAt                         time.Time
}

// TestConcurrentOperators guards against two accepted changes that are based on
// the same version, and against an accepted change that is lost, reverted or
// not in force in time. Operators send conflicting changes through several
// entries while the log loses responses, the log is down for a while and an
// entry restarts.
func TestConcurrentOperators(t *testing.T) {
	const operators, changes = 6, 12
	c := startCluster(t, 3, newVMs(1))
	var mu sync.Mutex
	var acceptedChanges []acceptedChange
	conflicts, failures := 0, 0
	var group sync.WaitGroup
	for o := range operators {
		group.Go(func() {
			for n := range changes {
				e := c.entries[(o+n)%len(c.entries)]
				basedOn, err := c.version(e, "vm/v1")
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				change := wire.ConfigChange{
					ID: fmt.Sprintf("change-%d-%d", o, n), Kind: wire.ConfigKindPutLabels, Object: "vm/v1", BasedOn: basedOn,
					Labels: map[string]string{"by": fmt.Sprintf("%d-%d", o, n)},
				}
				code, accepted, _, err := c.change(e, change)
				mu.Lock()
				switch {
				case err == nil && code == http.StatusOK:
					acceptedChanges = append(acceptedChanges, acceptedChange{o, n, basedOn, accepted.Version, time.Now()})
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
	c.setLogFaults(wire.LogFaults{LoseAnswers: 4})
	time.Sleep(400 * time.Millisecond)
	c.setLogFaults(wire.LogFaults{Down: true})
	time.Sleep(500 * time.Millisecond)
	c.entries[1].process.kill()
	c.setLogFaults(wire.LogFaults{})
	c.startEntry(c.entries[1])
	group.Wait()
	c.waitReady()
	c.Logf("changes: %d accepted, %d conflicts, %d failed or with unknown result", len(acceptedChanges), conflicts, failures)
	c.Assert(len(acceptedChanges) > 0, qt.IsTrue)
	c.Check(conflicts > 0, qt.IsTrue)
	last := acceptedChanges[0]
	basedOn := map[int]acceptedChange{}
	for _, w := range acceptedChanges {
		if other, twice := basedOn[w.basedOn]; twice {
			c.Errorf("two changes based on version %d were accepted: %+v and %+v", w.basedOn, other, w)
		}
		basedOn[w.basedOn] = w
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
	c.checkHistory(acceptedChanges)
}

// checkHistory checks that every entry's configuration history shows each
// change that an operator was told is accepted.
func (c *cluster) checkHistory(changes []acceptedChange) {
	c.Helper()
	for _, e := range c.entries {
		var view wire.ConfigView
		c.Assert(getJSON("http://"+e.httpAddress+"/v1/config?from=1", &view), qt.IsNil)
		accepted := map[int]bool{}
		for _, h := range view.History {
			accepted[h.Offset] = h.Accepted
		}
		for _, w := range changes {
			if !accepted[w.version] {
				c.Errorf("%s: change %d-%d was accepted with version %d, which its history does not show as accepted", e.id, w.operator, w.number, w.version)
			}
		}
	}
}

// version returns the version of an object that is in force at an entry, or 0
// if there is none.
func (c *cluster) version(e *entryNode, object string) (int, error) {
	var view wire.ConfigView
	if err := getJSON("http://"+e.httpAddress+"/v1/config", &view); err != nil {
		return 0, err
	}
	for _, o := range view.Objects {
		if o.Object == object {
			return o.Version, nil
		}
	}
	return 0, nil
}
