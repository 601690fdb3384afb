// Package counters keeps counters of events, histograms of latencies, and gauges
// in a metrics registry. An event that is both counted and logged has the same
// name in both places. The package owns the registry, which is safe for
// concurrent use.
package counters

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of latencies that a histogram keeps. With this size
// the histograms of an agent take less than 100 KB in total.
const sampleSize = 512

// Counters holds the metrics registry of a process. Use New to create one.
type Counters struct{ Registry metrics.Registry }

// New returns an empty registry.
func New() Counters { return Counters{metrics.NewRegistry()} }

// Count increments the named counter by one.
func (c Counters) Count(name string) { metrics.GetOrRegisterCounter(name, c.Registry).Inc(1) }

// Observe adds a latency to the named histogram, in whole milliseconds, rounded
// down.
func (c Counters) Observe(name string, latency time.Duration) {
	metrics.GetOrRegisterHistogram(name, c.Registry, metrics.NewUniformSample(sampleSize)).Update(latency.Milliseconds())
}

// Gauge registers a function that is called for the value of the named gauge each
// time the metrics are read.
func (c Counters) Gauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, c.Registry, read)
}
