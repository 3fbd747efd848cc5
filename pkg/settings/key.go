// ================================================================
// Parsing of settings files: YAML, flattened to dotted keys that a table defines.
//
//	requests:
//	  max_body: 1MiB        <- key requests.max_body, line 2
//
// One table drives parsing, checks, defaults and docs/SETTINGS.md, so that they agree. Decoding into
// a struct with YAML tags would not do: its errors name Go types and give neither the line of an
// invalid unit nor the missing required key.
// ================================================================

// Package settings parses and checks the settings files of the daemons.
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

// Key describes one key of a settings file for settings T.
type Key[T any] struct {
	// Path is the dotted name of the key, such as requests.max_body.
	Path string
	// Default is the value of a missing key, as text; if it is empty, there is no default.
	Default string
	// Required is set if a file without the key is rejected.
	Required bool
	// ValueKind describes the values that the key takes, for the reference page and errors.
	ValueKind string
	// Doc describes the effect of the key.
	Doc string
	// set parses a value into the settings. Its error holds only the reason; parse adds the file,
	// line and key.
	set func(t *T, v value) error
}

// value is the value of one key. The field that matches its YAML kind is set: text and items for a
// scalar, items for a sequence, pairs for a mapping.
type value struct {
	text  string
	items []string
	pairs map[string]string
	line  int // 0 for a default
}

// ----------------------------------------------------------------
// Parsing

// load parses the settings file at path into t.
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

// flatten returns the values of a settings file by dotted key. It rejects unknown and duplicate
// keys.
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
			return fmt.Errorf("line %d: duplicate key %s", key.Line, path)
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
			return fmt.Errorf("line %d: unknown key %s; %s", key.Line, path, knownInSection(known, path))
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
		return v, fmt.Errorf("YAML aliases are not supported")
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

// knownInSection returns a hint that lists the known keys in the section of path.
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
	return "known keys: " + strings.Join(siblings, ", ")
}
