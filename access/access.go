// Package access decides which queue and which organisation a caller's request
// belongs to, from one version of the configuration. It owns no state and
// takes no lock.
package access

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"celerypoint.example/celerypoint/steps"
)

// Queue is where jobs of one kind are handed in.
type Queue struct {
	// Name is unique within a version.
	Name string
	// Host and Prefix select the queue; the longest prefix wins.
	Host, Prefix string
	// Service names the workers that run the queue's tasks.
	Service string
	// Priority orders queues; 0 comes first and may preempt others.
	Priority int
	// MaxAttempts is how often a task may end as failed, at least 1.
	MaxAttempts int
	// LatencyFactor and Target give the latency objective: Stretch times the longest
	// chain of work, and Target more.
	LatencyFactor    float64
	LatencyAllowance time.Duration
	// Timeout bounds a request of this queue; zero means no bound.
	Timeout time.Duration
	// Public says that requests carry no key.
	Public bool
}

// Org is an organisation with its keys and what it is owed.
type Org struct {
	Name string
	Keys []string
	// Guaranteed is owed to the organisation's jobs of priority 0 at all times.
	Guaranteed steps.Resources
}

// Config is one version of the configuration.
type Config struct {
	// Version rises with each change; a process never goes back.
	Version int64
	Queues  []Queue
	Orgs    []Org
}

// Denial is why a request is not let in.
type Denial string

// The denials. The empty one lets the request in.
const (
	DeniedUnknownQueue Denial = "unknownQueue"
	DeniedUnknownKey   Denial = "unknownKey"
	// DeniedStaleConfig says that the configuration is too old to tell.
	DeniedStaleConfig Denial = "staleConfiguration"
)

// Request is what decides.
type Request struct {
	Host, Path, Key string
	// ConfigFresh says that the configuration is known to be recent enough to
	// honour keys.
	ConfigFresh bool
}

// Admission is the outcome.
type Admission struct {
	Denial Denial
	Queue  Queue
	// Org is empty on a public queue.
	Org string
	// PathSuffix is what follows the queue's prefix in the path.
	PathSuffix string
}

// Match finds the queue of a request.
func (t Config) Match(host, path string) (Queue, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	fits := slices.DeleteFunc(slices.Clone(t.Queues), func(q Queue) bool {
		return q.Host != host || !strings.HasPrefix(path, q.Prefix)
	})
	if len(fits) == 0 {
		return Queue{}, false
	}
	return slices.MaxFunc(fits, func(a, b Queue) int { return cmp.Compare(len(a.Prefix), len(b.Prefix)) }), true
}

// OrgForKey finds the organisation of a key.
func (t Config) OrgForKey(key string) (string, bool) {
	for _, o := range t.Orgs {
		if slices.Contains(o.Keys, key) {
			return o.Name, true
		}
	}
	return "", false
}

// Decide lets a request in or says why not. With a configuration that is not
// fresh nothing is refused for good: the newest one may allow it.
func Decide(t Config, r Request) Admission {
	q, found := t.Match(r.Host, r.Path)
	switch {
	case !found && !r.ConfigFresh:
		return Admission{Denial: DeniedStaleConfig}
	case !found:
		return Admission{Denial: DeniedUnknownQueue}
	}
	a := Admission{Queue: q, PathSuffix: strings.TrimPrefix(r.Path, q.Prefix)}
	if q.Public {
		return a
	}
	if !r.ConfigFresh {
		a.Denial = DeniedStaleConfig
		return a
	}
	if a.Org, found = t.OrgForKey(r.Key); !found {
		a.Denial = DeniedUnknownKey
	}
	return a
}
