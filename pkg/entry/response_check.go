// ================================================================
// Checks each part of a response that an agent or another entry sends: it must
// belong to the attempt, follow the part before it and be of the pinned version. The
// first part must name a status that a response may have.
// ================================================================

package entry

import (
	"strings"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/invariant"
	"github.com/tidepost/tidepost/pkg/upstream"
)

// checkPart returns an error for a part of another attempt, of another version,
// or out of order. A response that an entry of another failure domain forwards
// carries that entry's attempt ID, which begins with the ID of r and a slash.
func checkPart(part contract.ResponsePart, r contract.Request, sequence uint64) error {
	own := part.Attempt() == r.Attempt() || strings.HasPrefix(part.Attempt(), r.Attempt()+"/")
	if err := invariant.Check(own, "answer_of_other_request", "attempt %s received a part of attempt %s", r.Attempt(), part.Attempt()); err != nil {
		return err
	}
	if err := invariant.Check(part.Sequence() == sequence, "answer_out_of_order",
		"attempt %s received part %d, expected part %d", r.Attempt(), part.Sequence(), sequence); err != nil {
		return err
	}
	if sequence == 0 && !upstream.IsSoundStatus(part.Status()) {
		return failure.New(failure.BackendFailed, "the response has status %d", part.Status()).WithRan(failure.RanUnknown)
	}
	same := r.Digest().IsZero() || part.Digest() == r.Digest()
	return invariant.Check(same, "answer_of_other_version", "attempt %s is pinned to digest %s, received a part for digest %s", r.Attempt(), r.Digest(), part.Digest())
}
