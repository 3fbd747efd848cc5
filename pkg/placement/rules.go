// ================================================================
// The decision whether a VM may receive a request, from the region of its failure domain and the
// evacuations. All attempts of a request ask it, whatever chose the VM.
// ================================================================

package placement

// Verdict is the answer of the rules, as logs show it.
type Verdict string

// The verdicts.
const (
	Allowed       Verdict = "allowed"
	OutsideRegion Verdict = "its region is not allowed"
	Evacuated     Verdict = "its failure domain is evacuated"
)

// Rules decide which VMs may receive a request. They are safe for concurrent use.
type Rules struct {
	// Regions returns the region of each failure domain.
	Regions func() map[string]string
	// Evacuations are the evacuated failure domains.
	Evacuations *Evacuations
}

// Decide returns whether a VM of a failure domain may receive a request. A domain whose region is not
// known may receive only requests that may be served in all regions.
func (r Rules) Decide(c Constraint, domain string) Verdict {
	switch {
	case r.Evacuations.Get(domain).evacuated:
		return Evacuated
	case !c.IsRestricted():
		return Allowed
	}
	region, known := r.Regions()[domain]
	if !known || !c.Allows(region) {
		return OutsideRegion
	}
	return Allowed
}
