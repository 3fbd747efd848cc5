// ================================================================
// Selectors over labels, in the form that operators know:
//
//	accelerator=large,purpose!=portal,rack
//
// Terms are joined by commas and must all hold: key=value, key!=value (also
// true when the key is missing), or a bare key that has to be there.
// ================================================================

package vm

import (
	"strings"

	"github.com/tidepost/tidepost/pkg/failure"
)

// term is one condition; holds is picked once, when the selector is parsed.
type term struct {
	key     string
	value   string
	matches func(labels Labels, key, value string) bool
}

// Selector is a parsed selector. The zero Selector matches nothing.
type Selector struct {
	terms []term
}

// ParseSelector reads a selector.
func ParseSelector(text string) (Selector, error) {
	var s Selector
	for _, part := range strings.Split(text, ",") {
		t, ok := parseTerm(strings.TrimSpace(part))
		if !ok {
			return Selector{}, failure.New(failure.BadDocument,
				"selector %q: %q is not key=value, key!=value or key", text, part)
		}
		s.terms = append(s.terms, t)
	}
	return s, nil
}

func parseTerm(part string) (term, bool) {
	if key, value, ok := strings.Cut(part, "!="); ok {
		return term{key, value, labelDiffers}, key != ""
	}
	if key, value, ok := strings.Cut(part, "="); ok {
		return term{key, value, labelEquals}, key != ""
	}
	return term{part, "", labelExists}, part != "" && !strings.ContainsAny(part, " \t")
}

func labelEquals(labels Labels, key, value string) bool {
	v, ok := labels[key]
	return ok && v == value
}

func labelDiffers(labels Labels, key, value string) bool { return !labelEquals(labels, key, value) }

func labelExists(labels Labels, key, _ string) bool {
	_, ok := labels[key]
	return ok
}

// Matches tells whether every term holds for the labels.
func (s Selector) Matches(labels Labels) bool {
	for _, t := range s.terms {
		if !t.matches(labels, t.key, t.value) {
			return false
		}
	}
	return len(s.terms) > 0
}
