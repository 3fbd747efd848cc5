// ================================================================
// Identity and labels of a VM.
//
//	larder-07, incarnation 91, region scotland, failure domain scotland-a
//	labels: accelerator=large, purpose=menu
//
// An identity has an incarnation because the platform reuses names: a later VM of the same
// name is a different VM.
// ================================================================

// Package vm describes VMs: identity, labels and selectors over labels.
package vm

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
)

// ID is the name of a VM, unique among the VMs that exist at one time.
type ID string

// Labels are the key and value pairs that selectors match.
type Labels map[string]string

// Merge returns a copy of the labels in which those of overrides take precedence.
func (l Labels) Merge(overrides Labels) Labels {
	merged := make(Labels, len(l)+len(overrides))
	for k, v := range l {
		merged[k] = v
	}
	for k, v := range overrides {
		merged[k] = v
	}
	return merged
}

// Identity identifies a process on a VM, with its location and address.
//
//wire:generate
type Identity struct {
	// id is the name of the VM.
	id ID
	// incarnation distinguishes successive VMs, or processes without a data folder, with
	// the same id.
	incarnation uint64
	// region is the region of the VM.
	region string
	// domain is the failure domain of the VM.
	domain string
	// address is that of the process's link listener, host:port.
	address string
}

// String returns the id and the incarnation in hexadecimal.
func (i Identity) String() string { return fmt.Sprintf("%s/%x", i.id, i.incarnation) }

// SameIncarnation reports whether two identities have the same id and incarnation.
func (i Identity) SameIncarnation(o Identity) bool {
	return i.id == o.id && i.incarnation == o.incarnation
}

// NewIncarnation returns a random incarnation.
func NewIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])>>1 | 1
}
