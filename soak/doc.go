// ================================================================
// The soak tests run the real programs as separate processes on loopback, with
// stand-ins for callers and backend servers and a fault-injecting proxy in front of each
// address that the programs dial. They check what callers and backend servers observe.
//
// CI runs short tests with a fixed seed that check guarantees only. Tests that measure
// times are run by hand, for example: make silence SEED=1.
// ================================================================

// Package soak tests the real programs under network and process faults.
package soak
