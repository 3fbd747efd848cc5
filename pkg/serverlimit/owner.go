// ================================================================
// Chooses the gateway that owns a limit. One gateway grants the permits of a server to all, so that
// the sum stays within the limit however many gateways there are. All compute the same owner from
// the list of gateways alone, by rendezvous hashing: D. Thaler, C. Ravishankar, "Using name-based
// mappings to increase hit rates" (1998). Gateways in the failure domain of the server come first:
// where a link between failure domains is cut, a gateway that reaches the server reaches them too.
//
// A share of the limit for each gateway by demand would not do: with 149 gateways and 1 request per
// second no share is a whole request, and demand becomes known late. Permits from the control nodes
// would stop when these fail.
// ================================================================

package serverlimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Gateway is a gateway that may own limits.
type Gateway struct {
	// Address is the link address, and Domain the failure domain.
	Address, Domain string
}

// RankOwners ranks the gateways for the limit of a server: the first one owns it, and each later
// one takes over if all before it are unreachable.
func RankOwners(s Server, gateways []Gateway) []Gateway {
	type ranked struct {
		gateway Gateway
		remote  int // 1 outside the failure domain of the server, so that it sorts last
		hash    uint64
	}
	ranking := make([]ranked, 0, len(gateways))
	for _, g := range gateways {
		remote := 0
		if g.Domain != s.domain {
			remote = 1
		}
		ranking = append(ranking, ranked{g, remote, xxhash.Sum64String(g.Address + " " + s.incarnation)})
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.remote, b.remote), cmp.Compare(a.hash, b.hash), cmp.Compare(a.gateway.Address, b.gateway.Address))
	})
	owners := make([]Gateway, 0, len(ranking))
	for _, r := range ranking {
		owners = append(owners, r.gateway)
	}
	return owners
}
