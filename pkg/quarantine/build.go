// ================================================================
// A build identifies what a server runs: its software and its weights. A request that crashes
// servers of one build may run on another build, in which the fault is fixed.
// ================================================================

package quarantine

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Build returns the build of a server from its software and the version of its weights. Version 0
// stands for plain servers, and for engines that serve no weights.
func Build(software string, weights uint64) string { return fmt.Sprintf("%s/%d", software, weights) }

// splitBuild returns the software and the weights of a build.
func splitBuild(build string) (software string, weights uint64) {
	slash := strings.LastIndexByte(build, '/')
	if slash < 0 {
		return build, 0
	}
	weights, err := strconv.ParseUint(build[slash+1:], 10, 64)
	if err != nil {
		return build, 0
	}
	return build[:slash], weights
}

// compareBuilds orders builds by their weights.
func compareBuilds(a, b string) int {
	softwareA, weightsA := splitBuild(a)
	softwareB, weightsB := splitBuild(b)
	return cmp.Or(cmp.Compare(weightsA, weightsB), cmp.Compare(softwareA, softwareB))
}

// MayBeFixed reports whether a build may run a request that crashed servers of other builds: its
// software differs, or is the same with later weights. Earlier weights don't count, since a
// restarted server may serve them for a while.
func MayBeFixed(build string, crashed []string) bool {
	software, weights := splitBuild(build)
	for _, other := range crashed {
		if s, w := splitBuild(other); s == software && w >= weights {
			return false
		}
	}
	return true
}
