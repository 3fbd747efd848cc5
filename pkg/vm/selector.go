// ================================================================
// Label selectors:
//
//	accelerator=large,purpose!=portal,rack
//
// Terms are separated by commas and must all match: key=value, key!=value (which also
// matches when the key is missing), or a key that must be present.
// ================================================================

package vm

import (
	"strings"

	"github.com/tidepost/tidepost/pkg/failure"
)

// term is one condition of a selector. matches is chosen when the selector is parsed.
type term struct {
	key     string
	value   string
	matches func(labels Labels, key, value string) bool
}

// Selector is a parsed selector. The zero Selector matches nothing.
type Selector struct {
	terms []term
}

// ParseSelector parses a selector. The failure has the kind BadDocument.
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

// Matches reports whether every term matches the labels.
func (s Selector) Matches(labels Labels) bool {
	for _, t := range s.terms {
		if !t.matches(labels, t.key, t.value) {
			return false
		}
	}
	return len(s.terms) > 0
}
