// Package prove tests the promises that tidepost makes, with one randomized test (a "proof") for
// each. A proof runs complete entries and agents in one process and in virtual time, with an
// in-memory network, engines and services, and injects random faults. To show that its check is
// effective, it also disables one safeguard at a time and requires the check to fail.
//
// `make prove` runs the proofs with fixed seeds, `make soak MINUTES=10` with random ones.
// docs/PROOFS.md states for each promise what is tested and what is not.
package prove
