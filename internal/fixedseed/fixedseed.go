// Package fixedseed sets the seed of property-based tests: a fixed one in CI, another one if the
// environment names it, as soak tests do.
package fixedseed

import (
	"flag"
	"os"
)

const (
	// seedVariable is the environment variable with the seed.
	seedVariable = "TIDEPOST_SEED"
	// defaultSeed is used if the variable is not set.
	defaultSeed = "20261202"
)

// Set parses the flags and sets those of rapid: the seed, and that it writes no files for failed
// runs, since the seed is enough to repeat them. Call it from TestMain.
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
