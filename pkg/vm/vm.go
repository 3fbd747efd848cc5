// ================================================================
// What the system knows of a VM: who it is and which labels it carries.
//
//	larder-07, incarnation 91, region scotland, failure domain scotland-a
//	labels: accelerator=large, purpose=menu
//
// An identity has an incarnation because the platform gives a name out again:
// the VM that comes back under the name is not the one that left.
// ================================================================

// Package vm describes VMs: identity, labels and selectors over labels.
package vm

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
)

// ID is the name of a VM, unique among those that live at one time.
type ID string

// Labels are the key and value pairs that selectors match.
type Labels map[string]string

// Merge returns labels with those of over on top.
func (l Labels) Merge(over Labels) Labels {
	merged := make(Labels, len(l)+len(over))
	for k, v := range l {
		merged[k] = v
	}
	for k, v := range over {
		merged[k] = v
	}
	return merged
}

// Identity says which process on which VM speaks, where it stands and how to
// reach it.
//
//wire:generate
type Identity struct {
	// id is the name of the VM.
	id ID
	// incarnation differs between two lives of one name.
	incarnation uint64
	// region is the region of the VM.
	region string
	// domain is the failure domain of the VM.
	domain string
	// address is where its link listener can be reached, host:port.
	address string
}

// String returns id and incarnation.
func (i Identity) String() string { return fmt.Sprintf("%s/%x", i.id, i.incarnation) }

// SameIncarnation tells whether two identities are the same life of the same VM.
func (i Identity) SameIncarnation(o Identity) bool {
	return i.id == o.id && i.incarnation == o.incarnation
}

// NewIncarnation returns a random incarnation.
func NewIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])>>1 | 1
}
