package access

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against matching a request to the wrong queue, admitting it with an unknown
// key or denying it with a known one, and admitting it, or denying its queue or key as
// unknown, while the configuration may be outdated.
func TestDecide(t *testing.T) {
	config := Config{
		Version: 3,
		Queues: []Queue{
			{Name: "all", Host: "a.example", Prefix: "/"},
			{Name: "deep", Host: "a.example", Prefix: "/deep/"},
			{Name: "open", Host: "b.example", Prefix: "/open/", Public: true},
		},
		Orgs: []Org{{Name: "crew", Keys: []string{"k1", "k2"}}},
	}
	for _, test := range []struct {
		name string
		r    Request
		want Admission
	}{
		{"the longest prefix wins", Request{Host: "a.example", Path: "/deep/1", Key: "k2", ConfigFresh: true}, Admission{Queue: config.Queues[1], Org: "crew", PathSuffix: "1"}},
		{"a port in the host is ignored", Request{Host: "a.example:80", Path: "/1", Key: "k1", ConfigFresh: true}, Admission{Queue: config.Queues[0], Org: "crew", PathSuffix: "1"}},
		{"an unknown key", Request{Host: "a.example", Path: "/1", Key: "k3", ConfigFresh: true}, Admission{Denial: DeniedUnknownKey, Queue: config.Queues[0], PathSuffix: "1"}},
		{"an unknown host", Request{Host: "c.example", Path: "/1", Key: "k1", ConfigFresh: true}, Admission{Denial: DeniedUnknownQueue}},
		{"a public queue needs no key", Request{Host: "b.example", Path: "/open/1", ConfigFresh: true}, Admission{Queue: config.Queues[2], PathSuffix: "1"}},
		{"a public queue with an old configuration", Request{Host: "b.example", Path: "/open/1"}, Admission{Denial: DeniedStaleConfig, Queue: config.Queues[2], PathSuffix: "1"}},
		{"a known key with an old configuration", Request{Host: "a.example", Path: "/1", Key: "k1"}, Admission{Denial: DeniedStaleConfig, Queue: config.Queues[0], PathSuffix: "1"}},
		{"an unknown queue with an old configuration", Request{Host: "c.example", Path: "/1", Key: "k1"}, Admission{Denial: DeniedStaleConfig}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.New(t).Assert(Decide(config, test.r), qt.DeepEquals, test.want)
		})
	}
}

// TestEmptyKeyIsDenied guards against a configuration with an empty key, or with null in its
// place, that admits every request without a key.
func TestEmptyKeyIsDenied(t *testing.T) {
	config := Config{Queues: []Queue{{Name: "q", Prefix: "/"}}, Orgs: []Org{{Name: "o", Keys: []string{"", "k"}}}}
	qt.Assert(t, Decide(config, Request{Path: "/1", ConfigFresh: true}).Denial, qt.Equals, DeniedUnknownKey)
	qt.Assert(t, Decide(config, Request{Path: "/1", Key: "k", ConfigFresh: true}).Org, qt.Equals, "o")
}
