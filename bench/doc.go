// Package bench holds benches that span several packages. They run with `make bench-burst`,
// `make bench-route` and so on, not in CI. Most of their figures are ratios within one run, since
// absolute figures depend on the machine.
package bench
