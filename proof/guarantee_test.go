package proof

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"celerypoint.example/celerypoint/wire"
)

// reclaimBound is the longest time in which borrowed accelerators are
// reclaimed, the default of the setting reclaimMs. vmLostBound is the time
// without announcements after which a VM is considered lost, the default of
// vmLostMs.
const (
	reclaimBound = 5 * time.Second
	vmLostBound  = 4 * time.Second
)

// startBorrowers starts preemptible gangs of 4 tasks of the organisation
// "borrower", which borrow accelerators and ignore requests for checkpoints, and
// waits until they run. Six of these gangs fill a cluster of 3 VMs.
func startBorrowers(c *cluster, jobs int) []*call {
	c.Helper()
	text, err := json.Marshal(wire.StandinPayload{RunMs: 60_000, IgnoreCheckpoint: true})
	c.Assert(err, qt.IsNil)
	var calls []*call
	for range jobs {
		calls = append(calls, c.submit(c.entries[0], wire.SubmitRequest{
			Org: "borrower", Tasks: 4, AcceleratorsPerTask: 1, Adjacency: "vm", Urgency: "batch", Idempotent: true, Preemptible: true, Payload: string(text),
		}, 0))
	}
	for _, k := range calls {
		c.awaitPhase(k, wire.JobPhaseRunning, 10*time.Second)
	}
	return calls
}

func cancelAll(c *cluster, calls []*call) {
	c.Helper()
	for _, k := range calls {
		_, _, err := httpDo("DELETE", "http://"+c.entries[0].httpAddress+"/v1/jobs/"+k.view.ID, nil)
		c.Check(err, qt.IsNil)
	}
	for _, k := range calls {
		c.await(k, 20*time.Second)
	}
}

// TestGuaranteeReclaimed guards against an organisation that does not get its
// guaranteed accelerators back in time when the borrowers ignore requests for
// checkpoints.
func TestGuaranteeReclaimed(t *testing.T) {
	c := startCluster(t, 2, newVMs(3))
	c.putOrg("owner", wire.Shape{VMs: 2, AcceleratorsPerVM: 8, Adjacency: "region"})
	c.putOrg("borrower", wire.Shape{})
	c.awaitAssigned("owner", 16)
	borrowers := startBorrowers(c, 6)
	began := time.Now()
	k := c.submit(c.entries[1], wire.SubmitRequest{
		Org: "owner", Tasks: 16, AcceleratorsPerTask: 1, Adjacency: "region", IdempotencyKey: "own", Payload: payload(500, 100, 1),
	}, 0)
	c.awaitPhaseOrEnd(k, 30*time.Second)
	took := time.Since(began)
	c.Logf("the shape was reclaimed after %s", took.Round(time.Millisecond))
	c.Check(took < reclaimBound+2*time.Second, qt.IsTrue, qt.Commentf("took %s", took))
	c.await(k, 20*time.Second)
	c.Check(k.outcomeKind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", k.view.Outcome))
	cancelAll(c, borrowers)
	c.checkAll()
}

// TestGuaranteeReclaimedWhileVMCrashes guards against a guarantee that is not
// assigned to another VM and reclaimed there when one of its VMs crashes during
// the reclaim.
func TestGuaranteeReclaimedWhileVMCrashes(t *testing.T) {
	c := startCluster(t, 2, newVMs(3))
	c.putOrg("owner", wire.Shape{VMs: 2, AcceleratorsPerVM: 8, Adjacency: "region"})
	c.putOrg("borrower", wire.Shape{})
	shares := c.awaitAssigned("owner", 16)
	borrowers := startBorrowers(c, 6)
	began := time.Now()
	own := wire.SubmitRequest{
		Org: "owner", Tasks: 16, AcceleratorsPerTask: 1, Adjacency: "region", Idempotent: true, Payload: payload(500, 100, 1),
	}
	k := c.submit(c.entries[1], own, 0)
	time.Sleep(time.Duration(c.random.IntN(2000)) * time.Millisecond)
	c.killVM(c.vm(shares[0]))
	c.awaitPhaseOrEnd(k, 40*time.Second)
	took := time.Since(began)
	c.Logf("the shape was reclaimed after %s", took.Round(time.Millisecond))
	// The reclaim that is in progress may have to reach its deadline before the
	// next one begins.
	c.Check(took < vmLostBound+2*reclaimBound+4*time.Second, qt.IsTrue, qt.Commentf("took %s", took))
	c.await(k, 20*time.Second)
	c.Check(k.outcomeKind(), qt.Equals, wire.OutcomeKindAnswer, qt.Commentf("%+v", k.view.Outcome))
	cancelAll(c, borrowers)
	c.checkAll()
}

// awaitAssigned waits until, at every entry, the VMs together have that many
// accelerators assigned to the organisation's guarantee. It returns these VMs.
func (c *cluster) awaitAssigned(org string, want int) []string {
	c.Helper()
	var vms []string
	for _, e := range c.entries {
		c.eventually(10*time.Second, org+" has its guarantee assigned", func() error {
			status, err := c.status(e)
			if err != nil {
				return err
			}
			vms = nil
			got := 0
			for _, v := range status.VMs {
				if n := v.Shares[org]; n > 0 {
					got += n
					vms = append(vms, v.ID)
				}
			}
			if got != want {
				return fmt.Errorf("%d of %d accelerators are assigned", got, want)
			}
			return nil
		})
	}
	return vms
}

// awaitPhaseOrEnd waits until the second entry reports that the job runs or has
// ended.
func (c *cluster) awaitPhaseOrEnd(k *call, limit time.Duration) {
	c.Helper()
	c.eventually(limit, "job "+k.view.ID+" starts", func() error {
		var v wire.JobView
		e := c.entries[1]
		if err := getJSON("http://"+e.httpAddress+"/v1/jobs/"+k.view.ID, &v); err != nil {
			return err
		}
		if v.Phase == wire.JobPhaseRunning || v.Phase == wire.JobPhaseEnded {
			return nil
		}
		return fmt.Errorf("phase %s, waits for %q", v.Phase, v.WaitsFor)
	})
}
