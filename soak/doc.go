// ================================================================
// The fault soak runs the real programs as separate processes on loopback, with
// stand-ins around them and a proxy before each address that they dial. Its tests
// do to the connections what networks do, and look from outside at what callers
// and backend servers see.
//
// CI runs a short one with a fixed seed that checks promises only. What takes a
// clock to judge is run by hand: make silence SEED=1.
// ================================================================

// Package soak tests the real programs under faults of the network.
package soak
