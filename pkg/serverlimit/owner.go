// ================================================================
// Whose a limit is: one gateway grants the permits of a server to all, so that the sum is
// kept however many gateways there are. All find the same owner from the list of gateways
// alone, by rendezvous hashing: D. Thaler, C. Ravishankar, "Using name-based mappings to
// increase hit rates" (1998). Gateways of the server's own failure domain come first: where
// a link between failure domains is cut, whoever reaches the server reaches them too.
//
// Rejected: shares of the limit by demand. At 149 gateways and 1 request a second no share
// is a whole request, and demand is told late. Permits from control nodes: gone with them.
// ================================================================

package serverlimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Gateway is a gateway that may own limits.
type Gateway struct {
	// Address is its link address, and Domain its failure domain.
	Address, Domain string
}

// RankOwners returns gateways in the order in which they own the limit of a server: the first
// one does, and each later one where all before it are out of reach.
func RankOwners(s Server, gateways []Gateway) []Gateway {
	type ranked struct {
		gateway Gateway
		far     int
		hash    uint64
	}
	all := make([]ranked, 0, len(gateways))
	for _, g := range gateways {
		far := 0
		if g.Domain != s.domain {
			far = 1
		}
		all = append(all, ranked{g, far, xxhash.Sum64String(g.Address + " " + s.incarnation)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(a.hash, b.hash), cmp.Compare(a.gateway.Address, b.gateway.Address))
	})
	owners := make([]Gateway, 0, len(all))
	for _, r := range all {
		owners = append(owners, r.gateway)
	}
	return owners
}
