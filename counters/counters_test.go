package counters

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// TestCounters guards against latencies in another unit than milliseconds, which
// the metric names state, and against a counter that restarts at each call.
func TestCounters(t *testing.T) {
	c := qt.New(t)
	all := New()
	all.Count("refused")
	all.Count("refused")
	all.Observe("storeMs", 1500*time.Microsecond)
	all.Observe("storeMs", 2500*time.Millisecond)
	all.Gauge("ageMs", func() int64 { return 7 })
	c.Check(all.Registry.Get("refused").(metrics.Counter).Count(), qt.Equals, int64(2))
	h := all.Registry.Get("storeMs").(metrics.Histogram)
	c.Check([]int64{h.Min(), h.Max(), h.Count()}, qt.DeepEquals, []int64{1, 2500, 2})
	c.Check(all.Registry.Get("ageMs").(metrics.Gauge).Value(), qt.Equals, int64(7))
}
