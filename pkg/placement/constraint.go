// ================================================================
// Where a request may be served. Its route and its organisation may each restrict it to a list of
// regions, and where both do, a region must be in both lists.
// ================================================================

// Package placement decides which VMs may receive a request: those in the regions that its route and
// its organisation allow, outside of evacuated failure domains.
package placement

import "slices"

// Constraint restricts the regions in which a request may be served. The zero value allows all.
type Constraint struct {
	lists [][]string
}

// NewConstraint returns the constraint of lists of allowed regions, all of which bind. An empty list
// binds nothing.
func NewConstraint(lists ...[]string) Constraint {
	var c Constraint
	for _, list := range lists {
		if len(list) > 0 {
			c.lists = append(c.lists, list)
		}
	}
	return c
}

// IsRestricted reports whether the constraint excludes any region.
func (c Constraint) IsRestricted() bool { return len(c.lists) > 0 }

// Allows reports whether a request may be served in a region.
func (c Constraint) Allows(region string) bool {
	for _, list := range c.lists {
		if !slices.Contains(list, region) {
			return false
		}
	}
	return true
}
