// Package prove holds one proof for each promise that tidepost makes. A proof
// runs whole entries and agents in one process, over a network, engines and
// services in memory and in virtual time, under random faults; and it shows
// that it would notice: with one safeguard left out, it fails.
//
// `make prove` runs them with fixed seeds, `make soak MINUTES=10` with random
// ones. docs/PROOFS.md says promise by promise what is proved and what is not.
package prove
