// Package counters counts decisions and keeps latencies in a metrics registry,
// by names that logs use too. It owns the registry, which does its own locking.
package counters

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of latencies that a histogram keeps; an agent with
// its few histograms stays below 100 KB.
const sampleSize = 512

// Counters is one process's registry. Use New.
type Counters struct{ Registry metrics.Registry }

// New returns an empty registry.
func New() Counters { return Counters{metrics.NewRegistry()} }

// Count adds one to the counter of the name.
func (c Counters) Count(name string) { metrics.GetOrRegisterCounter(name, c.Registry).Inc(1) }

// Observe adds a latency to the histogram of the name, which holds whole
// milliseconds.
func (c Counters) Observe(name string, latency time.Duration) {
	metrics.GetOrRegisterHistogram(name, c.Registry, metrics.NewUniformSample(sampleSize)).Update(latency.Milliseconds())
}

// Gauge registers a value that is read when metrics are asked for.
func (c Counters) Gauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, c.Registry, read)
}
