package daemon

// The daemons are linked against the system's C library, which the VMs require of every program.

import "C"
