package connlimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// at returns a time n seconds after an arbitrary one.
func at(n int) time.Time { return time.Unix(1_800_000_000+int64(n), 0) }

// opened is a table with the IDs of the connections that it has closed.
type opened struct {
	*Table
	closed []uint64
}

func (o *opened) open(trusted bool, second int) uint64 {
	var id uint64
	id = o.Open(trusted, at(second), func(Reason) { o.closed = append(o.closed, id) })
	return id
}

// TestLargestHoldersAreClosed guards against a client that holds little and is closed for those
// that hold much, against a peer that is closed for clients, and against a table that stays full.
func TestLargestHoldersAreClosed(t *testing.T) {
	c := qt.New(t)
	o := &opened{Table: New(Limits{Connections: 100, HeldBytes: 1000, ActiveBytes: 1000})}
	small, large, larger, peer := o.open(false, 0), o.open(false, 0), o.open(false, 0), o.open(true, 0)
	for id, bytes := range map[uint64]int64{small: 50, large: 250, larger: 300, peer: 400} {
		c.Assert(o.Hold(id, bytes), qt.IsTrue)
	}
	c.Check(o.Hold(small, 1), qt.IsTrue)
	c.Check(o.closed, qt.DeepEquals, []uint64{larger})
	c.Check(o.Hold(larger, 1), qt.IsFalse)
	c.Check(o.Hold(large, 400), qt.IsFalse)
	c.Check(o.closed, qt.DeepEquals, []uint64{larger, large})
	connections, held, _ := o.Totals()
	c.Check(connections, qt.Equals, 1)
	c.Check(held, qt.Equals, int64(451))
}

// TestConnectionsMakeRoom guards against new connections that close one with a request in
// progress or one of this process, and against served clients that lose their connections to
// clients that send nothing.
func TestConnectionsMakeRoom(t *testing.T) {
	c := qt.New(t)
	o := &opened{Table: New(Limits{Connections: 4, HeldBytes: 1000, ActiveBytes: 1000})}
	peer := o.open(true, 0)
	busy, served, silent, servedLater := o.open(false, 1), o.open(false, 1), o.open(false, 3), o.open(false, 1)
	for i, id := range []uint64{served, servedLater, busy} {
		c.Assert(o.Complete(id, 10, at(4+i)), qt.IsTrue)
		c.Assert(o.Begin(id, 10), qt.IsTrue)
		if id != busy {
			o.End(id, 10, at(5+i))
		}
	}
	for range 3 {
		c.Check(o.MakeRoom(), qt.IsTrue)
		id := o.open(false, 10)
		c.Assert(o.Complete(id, 10, at(10)), qt.IsTrue)
	}
	c.Check(o.closed, qt.DeepEquals, []uint64{silent, served, servedLater})
	c.Check(o.MakeRoom(), qt.IsFalse)
	c.Check(o.CloseIdle(), qt.IsFalse)
	c.Check(o.Hold(peer, 1), qt.IsTrue)
}

// TestActiveBytes guards against requests in progress that take any memory, against one client
// that keeps all others from being served, and against bytes that count for ever.
func TestActiveBytes(t *testing.T) {
	c := qt.New(t)
	o := &opened{Table: New(Limits{Connections: 4, HeldBytes: 1 << 20, ActiveBytes: 100 << 10})}
	large, small := o.open(false, 0), o.open(false, 0)
	c.Assert(o.Complete(large, 100<<10, at(0)), qt.IsTrue)
	c.Check(o.Begin(large, 100<<10), qt.IsTrue)
	c.Assert(o.Complete(large, 1<<10, at(0)), qt.IsTrue)
	c.Check(o.Begin(large, 1<<10), qt.IsFalse)
	o.Refuse(large, 1<<10, at(1))
	c.Assert(o.Complete(small, minActiveBytes, at(0)), qt.IsTrue)
	c.Check(o.Begin(small, minActiveBytes), qt.IsTrue)
	// The memory of a request stays in use when its connection closes.
	o.Close(large)
	_, _, active := o.Totals()
	c.Check(active, qt.Equals, int64(100<<10+minActiveBytes))
	o.End(large, 100<<10, at(2))
	o.End(small, minActiveBytes, at(2))
	connections, held, active := o.Totals()
	c.Check([]int64{int64(connections), held, active}, qt.DeepEquals, []int64{1, 0, 0})
}

// TestTotals guards against sums that do not match what the connections use, whatever the order
// of the calls, and against held bytes above the limit.
func TestTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: 5, HeldBytes: 1000, ActiveBytes: 500}
		o := &opened{Table: New(limits)}
		var ids []uint64
		type request struct {
			id    uint64
			bytes int64
		}
		var begun []request
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(ids) == 0 || rapid.IntRange(0, 5).Draw(t, "open") == 0 {
				if o.MakeRoom() {
					ids = append(ids, o.open(false, n))
				}
				continue
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			bytes := rapid.Int64Range(1, 400).Draw(t, "bytes")
			switch rapid.SampledFrom([]string{"hold", "request", "end", "close"}).Draw(t, "call") {
			case "hold":
				if o.Hold(id, bytes) && rapid.Bool().Draw(t, "free") {
					o.Hold(id, -bytes)
				}
			case "request":
				if !o.Complete(id, bytes, at(n)) {
					break
				}
				if o.Begin(id, bytes) {
					begun = append(begun, request{id, bytes})
				} else {
					o.Refuse(id, bytes, at(n))
				}
			case "end":
				if len(begun) > 0 {
					o.End(begun[0].id, begun[0].bytes, at(n))
					begun = begun[1:]
				}
			case "close":
				o.Close(id)
			}
			connections, held, _ := o.Totals()
			if connections > limits.Connections || held > limits.HeldBytes || held < 0 {
				t.Fatalf("%d connections hold %d bytes", connections, held)
			}
		}
		for _, r := range begun {
			o.End(r.id, r.bytes, at(1000))
		}
		for _, id := range ids {
			o.Close(id)
		}
		connections, held, active := o.Totals()
		if connections != 0 || held != 0 || active != 0 || len(o.connections) != 0 {
			t.Fatalf("%d connections, %d held and %d active bytes, %d entries are left", connections, held, active, len(o.connections))
		}
	})
}
