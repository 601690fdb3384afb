// Package access determines, from one version of the configuration, the queue and
// the organisation of a caller's HTTP request, and whether the request is admitted.
// The configuration lists the queues and the organisations with their keys. The
// package owns no state and takes no lock.
package access

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"celerypoint.example/celerypoint/steps"
)

// Queue describes a queue to which callers submit jobs.
type Queue struct {
	// Name is unique within a version of the configuration.
	Name string
	// A request can belong to the queue if its host is Host and its path begins with
	// Prefix. Of several such queues, it belongs to the one with the longest Prefix.
	Host, Prefix string
	// Service is the service that a worker must have to run the queue's tasks. Empty
	// means any worker.
	Service string
	// Priority is the priority of the queue's jobs. 0 is the highest, and larger
	// numbers are lower; only jobs of priority 0 may preempt others.
	Priority int
	// MaxAttempts is the number of failures of one task with which its job fails,
	// at least 1. Tasks that run until the job is cancelled are exempt.
	MaxAttempts int
	// LatencyFactor and LatencyAllowance define the latency objective of a job.
	// Each execution of the job's steps should end within LatencyFactor times the
	// estimated duration of the longest chain of dependent steps, plus
	// LatencyAllowance. The time counts from when the planner begins the execution
	// or, after a change of planner, from when the new one restores it.
	LatencyFactor    float64
	LatencyAllowance time.Duration
	// Timeout limits how long a request to this queue is processed, whatever time
	// the caller allows; zero means no such limit.
	Timeout time.Duration
	// Public says that requests need no key.
	Public bool
}

// Org is an organisation with its keys and its guarantee.
type Org struct {
	Name string
	Keys []string
	// Guaranteed is the capacity that is guaranteed at all times to the
	// organisation's jobs of priority 0.
	Guaranteed steps.Resources
}

// Record is what a record of the operator says. It is sealed; its implementations are
// Config and Evacuation.
type Record interface{ record() }

func (Config) record()     {}
func (Evacuation) record() {}

// Evacuation says whether an availability zone is evacuated. While it is, no task starts
// on its VMs; what runs there goes on.
type Evacuation struct {
	Zone   string
	Active bool
}

// Config is one version of the configuration.
type Config struct {
	// Version increases with each change of the configuration. A process never
	// replaces a version by an older one.
	Version int64
	Queues  []Queue
	Orgs    []Org
}

// Denial is the reason why a request is not admitted.
type Denial string

// The reasons for a denial. The empty Denial means that the request is admitted.
const (
	DeniedUnknownQueue Denial = "unknownQueue"
	DeniedUnknownKey   Denial = "unknownKey"
	// DeniedStaleConfig means that Request.ConfigFresh is not set and a newer
	// configuration may decide otherwise.
	DeniedStaleConfig Denial = "staleConfiguration"
)

// Request holds the properties of a request that Decide uses.
type Request struct {
	Host, Path, Key string
	// ConfigFresh says that the configuration is known to be recent enough to decide
	// by it.
	ConfigFresh bool
}

// Admission is the result of Decide.
type Admission struct {
	// Denial is empty if the request is admitted.
	Denial Denial
	// Queue is the queue of the request, zero if no queue matches it.
	Queue Queue
	// Org is the name of the caller's organisation. It is empty on a public queue
	// and for a request that is denied.
	Org string
	// PathSuffix is the part of the request's path after Queue.Prefix, empty if no
	// queue matches.
	PathSuffix string
}

// Match finds the queue of a request; see Queue.Host and Queue.Prefix. A port in
// host is ignored. It reports false if no queue matches.
func (c Config) Match(host, path string) (Queue, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	matching := slices.DeleteFunc(slices.Clone(c.Queues), func(q Queue) bool {
		return q.Host != host || !strings.HasPrefix(path, q.Prefix)
	})
	if len(matching) == 0 {
		return Queue{}, false
	}
	return slices.MaxFunc(matching, func(a, b Queue) int { return cmp.Compare(len(a.Prefix), len(b.Prefix)) }), true
}

// OrgForKey finds the name of the organisation that has the key. No organisation has the
// empty key, which is that of a request without one.
func (c Config) OrgForKey(key string) (string, bool) {
	if key == "" {
		return "", false
	}
	for _, o := range c.Orgs {
		if slices.Contains(o.Keys, key) {
			return o.Name, true
		}
	}
	return "", false
}

// Decide decides whether a request is admitted. Unless Request.ConfigFresh is set, it
// denies all requests with DeniedStaleConfig, because the newest configuration may decide
// otherwise: it may have added or removed the key or the queue.
func Decide(c Config, r Request) Admission {
	q, found := c.Match(r.Host, r.Path)
	switch {
	case !found && !r.ConfigFresh:
		return Admission{Denial: DeniedStaleConfig}
	case !found:
		return Admission{Denial: DeniedUnknownQueue}
	}
	a := Admission{Queue: q, PathSuffix: strings.TrimPrefix(r.Path, q.Prefix)}
	if !r.ConfigFresh {
		a.Denial = DeniedStaleConfig
		return a
	}
	if q.Public {
		return a
	}
	if a.Org, found = c.OrgForKey(r.Key); !found {
		a.Denial = DeniedUnknownKey
	}
	return a
}
