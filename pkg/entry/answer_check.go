// ================================================================
// The check of each part of an answer.
// ================================================================

package entry

import (
	"strings"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/invariant"
)

// checkPart refuses a part of another attempt, of another version, or out of
// order. An answer forwarded by an entry of another domain has that entry's
// attempt, which begins with ours.
func checkPart(part contract.ResponsePart, r contract.Request, sequence uint64) error {
	own := part.Attempt() == r.Attempt() || strings.HasPrefix(part.Attempt(), r.Attempt()+"/")
	if err := invariant.Check(own, "answer_of_other_request", "%s got a part of %s", r.Attempt(), part.Attempt()); err != nil {
		return err
	}
	if err := invariant.Check(part.Sequence() == sequence, "answer_out_of_order",
		"%s got part %d, not %d", r.Attempt(), part.Sequence(), sequence); err != nil {
		return err
	}
	same := r.Digest().IsZero() || part.Digest() == r.Digest()
	return invariant.Check(same, "answer_of_other_version", "%s pinned to %s, part of %s", r.Attempt(), r.Digest(), part.Digest())
}
