package configstate

import (
	"testing"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/vm"
)

// An operator can remove a label that a VM's own settings define. Without a list of removed labels,
// the VM's label would reappear when the operator's label is removed.
func TestOperatorRemovesVMLabel(t *testing.T) {
	own := vm.Labels{"purpose": "menu", "rack": "r1"}
	s := NewState()
	base := uint64(0)
	label := func(id string, labels vm.Labels, removed ...string) {
		t.Helper()
		o, err := contract.EncodeObject(contract.KindLabels, "vm-1", contract.NewLabelSet(labels, removed))
		if err != nil {
			t.Fatal(err)
		}
		result := s.ApplyChange(contract.NewChange(id, "ann", base, []contract.Object{o}, contract.Digest{}))
		if result.Refusal() != nil {
			t.Fatal(result.Refusal())
		}
		base = result.Revision()
	}
	label("a", vm.Labels{}, "purpose")
	if got := s.View().LabelsOf("vm-1", own); len(got) != 1 || got["rack"] != "r1" {
		t.Errorf("after the removal: %v", got)
	}
	label("b", vm.Labels{"purpose": "portal"})
	if got := s.View().LabelsOf("vm-1", own); got["purpose"] != "portal" {
		t.Errorf("after setting it: %v", got)
	}
	if got := s.View().LabelsOf("vm-2", own); got["purpose"] != "menu" {
		t.Errorf("another VM: %v", got)
	}
}

// A delta that would decrease the revision or leave a gap is rejected.
func TestOutOfOrderDeltaIsRejected(t *testing.T) {
	s := NewState()
	for _, c := range []struct {
		from, revision uint64
		applied        bool
	}{{0, 5, true}, {0, 4, false}, {4, 5, false}, {6, 7, false}, {5, 6, true}, {0, 6, false}} {
		if applied := s.ApplyDelta(contract.NewDelta(c.from, c.revision, nil, true)); applied != c.applied {
			t.Errorf("delta from %d to %d: applied %t", c.from, c.revision, applied)
		}
	}
	if s.Revision() != 6 {
		t.Errorf("revision %d", s.Revision())
	}
}
