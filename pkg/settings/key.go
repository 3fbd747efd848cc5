// ================================================================
// A settings file is YAML; a table of keys says what may stand in it. The
// table drives reading, checking, defaults and docs/SETTINGS.md, so that these
// cannot differ.
//
//	requests:
//	  max_body: 1MiB        <- key requests.max_body, line 2
//
// The file is flattened to dotted keys first. A struct with YAML tags would be
// shorter, but its errors name Go types, and it can tell neither the line of a
// bad unit nor which required key is missing.
// ================================================================

// Package settings reads and checks the settings files of the daemons.
package settings

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"gopkg.in/yaml.v3"

	"github.com/tidepost/tidepost/pkg/failure"
)

// Key describes one key of a settings file that fills a T.
type Key[T any] struct {
	// Path is the dotted name of the key.
	Path string
	// Default is the text used when the key is missing; empty is none.
	Default string
	// Required refuses a file without the key.
	Required bool
	// ValueKind says what kind of value it takes, for the reference page.
	ValueKind string
	// Doc says what it does.
	Doc string
	// set puts the value into the settings; its error is the reason only.
	set func(t *T, v value) error
}

// value is the value of one key with its place in the file.
type value struct {
	text  string
	items []string
	pairs map[string]string
	line  int
}

// ----------------------------------------------------------------
// Reading

// load fills t from a file by a table of keys.
func load[T any](path string, keys []Key[T], t *T) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return failure.New(failure.BadSettings, "%v", err)
	}
	return parse(path, raw, keys, t)
}

func parse[T any](path string, raw []byte, keys []Key[T], t *T) error {
	found, err := flatten(path, raw, keyPaths(keys))
	if err != nil {
		return err
	}
	for _, k := range keys {
		v, ok := found[k.Path]
		switch {
		case !ok && k.Required:
			return failure.New(failure.BadSettings, "%s: key %s is missing (%s: %s)", path, k.Path, k.ValueKind, k.Doc)
		case !ok && k.Default == "":
			continue
		case !ok:
			v = value{text: k.Default, items: []string{k.Default}}
		}
		if err := k.set(t, v); err != nil {
			return failure.New(failure.BadSettings, "%s, line %d: %s: %v; it takes %s", path, v.line, k.Path, err, k.ValueKind)
		}
	}
	return nil
}

func keyPaths[T any](keys []Key[T]) map[string]bool {
	paths := map[string]bool{}
	for _, k := range keys {
		paths[k.Path] = true
	}
	return paths
}

// flatten returns the values by dotted key, and refuses keys that are unknown
// or that stand twice.
func flatten(path string, raw []byte, known map[string]bool) (map[string]value, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(raw, &document); err != nil {
		return nil, failure.New(failure.BadSettings, "%s: %v", path, err)
	}
	found := map[string]value{}
	if len(document.Content) == 0 {
		return found, nil
	}
	err := flattenInto(found, known, "", document.Content[0])
	if err != nil {
		return nil, failure.New(failure.BadSettings, "%s, %v", path, err)
	}
	return found, nil
}

func flattenInto(found map[string]value, known map[string]bool, prefix string, n *yaml.Node) error {
	if n.Kind != yaml.MappingNode {
		return fmt.Errorf("line %d: a mapping of keys is expected", n.Line)
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, child := n.Content[i], n.Content[i+1]
		path := strings.TrimPrefix(prefix+"."+key.Value, ".")
		if _, duplicate := found[path]; duplicate {
			return fmt.Errorf("line %d: key %s stands twice", key.Line, path)
		}
		if known[path] {
			v, err := readValue(child)
			if err != nil {
				return fmt.Errorf("line %d: %s: %v", child.Line, path, err)
			}
			found[path] = v
			continue
		}
		if child.Kind != yaml.MappingNode || !hasPrefix(known, path+".") {
			return fmt.Errorf("line %d: key %s is unknown; %s", key.Line, path, knownInSection(known, path))
		}
		if err := flattenInto(found, known, path, child); err != nil {
			return err
		}
	}
	return nil
}

func readValue(n *yaml.Node) (value, error) {
	v := value{line: n.Line}
	switch n.Kind {
	case yaml.ScalarNode:
		v.text, v.items = n.Value, []string{n.Value}
		return v, nil
	case yaml.SequenceNode:
		return v, n.Decode(&v.items)
	case yaml.MappingNode:
		return v, n.Decode(&v.pairs)
	default:
		return v, fmt.Errorf("aliases are not read")
	}
}

func hasPrefix(known map[string]bool, prefix string) bool {
	for k := range known {
		if strings.HasPrefix(k, prefix) {
			return true
		}
	}
	return false
}

// knownInSection names the known keys of the same section.
func knownInSection(known map[string]bool, path string) string {
	section := ""
	if i := strings.LastIndex(path, "."); i >= 0 {
		section = path[:i+1]
	}
	var siblings []string
	for k := range known {
		if strings.HasPrefix(k, section) {
			siblings = append(siblings, k)
		}
	}
	if len(siblings) == 0 {
		return "see docs/SETTINGS.md"
	}
	sort.Strings(siblings)
	return "known are " + strings.Join(siblings, ", ")
}
