// Package bench holds the benches that do not belong to one package. They run
// by `make bench-burst`, `make bench-route` and the like, never in CI, and
// print ratios taken in one run.
package bench
