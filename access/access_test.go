package access

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that is let in or refused by the wrong queue or key,
// and against a refusal for good by a configuration that may be out of date.
func TestDecide(t *testing.T) {
	table := Config{
		Version: 3,
		Queues: []Queue{
			{Name: "all", Host: "a.example", Prefix: "/"},
			{Name: "deep", Host: "a.example", Prefix: "/deep/"},
			{Name: "open", Host: "b.example", Prefix: "/open/", Public: true},
		},
		Orgs: []Org{{Name: "crew", Keys: []string{"k1", "k2"}}},
	}
	for _, test := range []struct {
		about string
		r     Request
		want  Admission
	}{
		{"the longest prefix wins", Request{Host: "a.example", Path: "/deep/1", Key: "k2", ConfigFresh: true}, Admission{Queue: table.Queues[1], Org: "crew", PathSuffix: "1"}},
		{"a port is no part of the host", Request{Host: "a.example:80", Path: "/1", Key: "k1", ConfigFresh: true}, Admission{Queue: table.Queues[0], Org: "crew", PathSuffix: "1"}},
		{"an unknown key", Request{Host: "a.example", Path: "/1", Key: "k3", ConfigFresh: true}, Admission{Denial: DeniedUnknownKey, Queue: table.Queues[0], PathSuffix: "1"}},
		{"an unknown host", Request{Host: "c.example", Path: "/1", Key: "k1", ConfigFresh: true}, Admission{Denial: DeniedUnknownQueue}},
		{"a public queue needs no key", Request{Host: "b.example", Path: "/open/1", ConfigFresh: true}, Admission{Queue: table.Queues[2], PathSuffix: "1"}},
		{"a public queue needs no fresh configuration", Request{Host: "b.example", Path: "/open/1"}, Admission{Queue: table.Queues[2], PathSuffix: "1"}},
		{"a known key with an old configuration", Request{Host: "a.example", Path: "/1", Key: "k1"}, Admission{Denial: DeniedStaleConfig, Queue: table.Queues[0], PathSuffix: "1"}},
		{"an unknown queue with an old configuration", Request{Host: "c.example", Path: "/1", Key: "k1"}, Admission{Denial: DeniedStaleConfig}},
	} {
		t.Run(test.about, func(t *testing.T) {
			qt.New(t).Assert(Decide(table, test.r), qt.DeepEquals, test.want)
		})
	}
}
