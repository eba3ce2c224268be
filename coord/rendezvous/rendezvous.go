// Package rendezvous ranks nodes for a key by highest random weight, so that
// nodes with the same view agree without exchanging a message, and a node that
// leaves moves only the keys it had.
//
// It owns no state and relies on all nodes using the same hash.
//
// # Usage
//
//	home, ok := rendezvous.First("bennani/archives", ids)
//
// See Thaler and Ravishankar, "Using name-based mappings to increase hit
// rates", 1998.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// First returns the node with the highest weight for key.
func First(key string, nodes []string) (string, bool) {
	best, bestWeight, found := "", uint64(0), false
	for _, node := range nodes {
		w := weight(key, node)
		if !found || w > bestWeight || w == bestWeight && node < best {
			best, bestWeight, found = node, w, true
		}
	}
	return best, found
}

// Rank returns the nodes in order of falling weight for key.
func Rank(key string, nodes []string) []string {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		wa, wb := weight(key, a), weight(key, b)
		switch {
		case wa > wb, wa == wb && a < b:
			return -1
		case a == b:
			return 0
		}
		return 1
	})
	return ranked
}

func weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A digest takes everything.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(node)
	return d.Sum64()
}
