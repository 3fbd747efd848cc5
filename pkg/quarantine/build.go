// ================================================================
// A build: what a server runs, its software and its weights. A request that ends servers
// of one build may run on another, where either has been mended.
// ================================================================

package quarantine

import (
	"fmt"
	"strconv"
	"strings"
)

// Build returns how a server's software and the version of its weights are told; version 0
// is that of plain servers, and of engines that serve nothing.
func Build(software string, weights uint64) string { return fmt.Sprintf("%s/%d", software, weights) }

// splitBuild returns the software and the weights of a build.
func splitBuild(build string) (software string, weights uint64) {
	at := strings.LastIndexByte(build, '/')
	if at < 0 {
		return build, 0
	}
	weights, err := strconv.ParseUint(build[at+1:], 10, 64)
	if err != nil {
		return build, 0
	}
	return build[:at], weights
}

// MayBeFixed tells whether a build may run a request under which servers of others ended:
// it has other software, or the same with later weights. A server that starts anew may
// serve earlier weights for a while, and those are not mended.
func MayBeFixed(build string, ended []string) bool {
	software, weights := splitBuild(build)
	for _, one := range ended {
		if s, w := splitBuild(one); s == software && w >= weights {
			return false
		}
	}
	return true
}
