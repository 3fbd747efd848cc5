package entry

import (
	"testing"

	"github.com/tidepost/tidepost/pkg/contract"
)

// Guards against an answer whose first part names no status that exists, as of an agent of an earlier release: with
// status 0 its caller got a 200.
func TestFirstPartNeedsStatus(t *testing.T) {
	r := contract.NewRequest("a", "larder", "", contract.Digest{}, "ordering", "POST", "/", "", nil, 0, false, false, 0)
	for status, sound := range map[int]bool{0: false, 20: false, 101: false, 600: false, 200: true, 404: true, 599: true} {
		part := contract.NewResponsePart(r.Attempt(), 0, status, "", nil, false, nil, r.Digest())
		if err := checkPart(part, r, 0); (err == nil) != sound {
			t.Errorf("status %d: %v", status, err)
		}
	}
	later := contract.NewResponsePart(r.Attempt(), 1, 0, "", []byte("body"), false, nil, r.Digest())
	if err := checkPart(later, r, 1); err != nil {
		t.Error(err)
	}
}
