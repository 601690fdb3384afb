// Package membership picks an owner for a key among live peers by rendezvous
// hashing. Every process that sees the same peers picks the same owner, and the
// loss of one peer moves only the keys that it owned. The package owns no state
// and takes no lock.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ranked returns the peers in descending order of their hash with the key, so
// that the owner comes first. The result does not depend on the order of the
// input.
func Ranked(key string, peers []string) []string {
	ranked := slices.Clone(peers)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(weight(key, b), weight(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// Owner returns the first peer of Ranked, or an empty string if there are no
// peers.
func Owner(key string, peers []string) string {
	owner := ""
	for _, p := range peers {
		if owner == "" || weight(key, p) > weight(key, owner) || weight(key, p) == weight(key, owner) && p < owner {
			owner = p
		}
	}
	return owner
}

func weight(key, peer string) uint64 {
	return xxhash.Sum64String(key + "\x00" + peer)
}
