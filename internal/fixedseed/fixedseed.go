// Package fixedseed gives the random tests of several packages one way to run:
// a fixed seed in CI, another one where a soak names it.
package fixedseed

import (
	"flag"
	"os"
)

const (
	// seedVariable names the seed of a soak.
	seedVariable = "TIDEPOST_SEED"
	// defaultSeed is the seed of every run that names none.
	defaultSeed = "20261202"
)

// Set parses the flags and sets those of rapid: the seed, and no files of
// failed runs, since the seed already repeats them. Call it from TestMain.
func Set() error {
	flag.Parse()
	seed := os.Getenv(seedVariable)
	if seed == "" {
		seed = defaultSeed
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		return err
	}
	return flag.Set("rapid.nofailfile", "true")
}
