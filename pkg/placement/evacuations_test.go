package placement

import "testing"

// A repeated change is held, and one that arrives after a later change is not applied.
func TestDelayedChangeIsNotApplied(t *testing.T) {
	var e Evacuations
	evacuate := NewChange("hall-a", true, 0)
	for _, step := range []struct {
		change    Change
		result    Result
		evacuated bool
	}{
		{NewChange("hall-a", false, 0), Held, false},
		{evacuate, Applied, true},
		{evacuate, Held, true},
		{NewChange("hall-b", true, 0), Applied, true},
		{NewChange("hall-a", false, 1), Applied, false},
		{evacuate, Outdated, false},
		{NewChange("hall-a", true, 2), Applied, true},
	} {
		if got := e.Apply(step.change); got.Result() != step.result || e.Get(step.change.Domain()).Evacuated() != step.evacuated {
			t.Errorf("%+v: %+v, evacuated %t", step.change, got, e.Get(step.change.Domain()).Evacuated())
		}
	}
	if evacuated := e.Evacuated(); len(evacuated) != 2 {
		t.Errorf("%v are evacuated", evacuated)
	}
}

// States that arrive in any order, or twice, replace no newer one.
func TestOlderStatesAreIgnored(t *testing.T) {
	var e Evacuations
	states := []DomainState{NewDomainState("hall-a", false, 2), NewDomainState("hall-b", true, 1)}
	if changed := e.Merge(states); len(changed) != 1 || changed[0].Domain() != "hall-b" {
		t.Fatalf("%+v changed", changed)
	}
	if changed := e.Merge([]DomainState{NewDomainState("hall-a", true, 1), NewDomainState("hall-b", true, 1)}); len(changed) > 0 {
		t.Fatalf("%+v changed by older states", changed)
	}
	if all := e.All(); len(all) != 2 || all[0] != states[0] || all[1] != states[1] {
		t.Fatalf("%+v", all)
	}
}
