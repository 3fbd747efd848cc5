package daemon

// The daemons are linked against the system's C library, as the VMs that they
// run on expect of every program.

import "C"
