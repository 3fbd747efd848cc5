// ================================================================
// The YAML document that operators apply, and its validation. An example:
//
//	models:
//	  - {name: menu, version: v7}
//	groups:
//	  - {name: menu-north, selector: "purpose=menu", model: menu, version: v7}
//	organisations:
//	  - {name: larder, weight: 4}
//	services:
//	  - {name: ordering, selector: "purpose=ordering", repeatable: false}
//	labels:
//	  - {vm: larder-07, labels: {purpose: menu}}
//	sources:
//	  - {name: origin, url: "http://10.0.0.9:7700"}
//	delete:
//	  - group/menu-old
// ================================================================

package operator

import (
	"bytes"
	"io"
	"os"
	"regexp"
	"strings"

	"gopkg.in/yaml.v3"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

// document is the YAML form of a document.
type document struct {
	Sources []struct {
		Name  string `yaml:"name"`
		URL   string `yaml:"url"`
		Store bool   `yaml:"store"`
	} `yaml:"sources"`
	Models []struct {
		Name    string `yaml:"name"`
		Version string `yaml:"version"`
	} `yaml:"models"`
	Groups []struct {
		Name     string        `yaml:"name"`
		Selector string        `yaml:"selector"`
		Model    string        `yaml:"model"`
		Version  string        `yaml:"version"`
		Role     contract.Role `yaml:"role"`
	} `yaml:"groups"`
	Organisations []struct {
		Name        string `yaml:"name"`
		Weight      uint32 `yaml:"weight"`
		MaxInFlight uint32 `yaml:"max_in_flight"`
	} `yaml:"organisations"`
	Services []struct {
		Name       string `yaml:"name"`
		Selector   string `yaml:"selector"`
		Repeatable *bool  `yaml:"repeatable"`
	} `yaml:"services"`
	Labels []struct {
		VM     string            `yaml:"vm"`
		Labels map[string]string `yaml:"labels"`
		// Removed are the labels of the VM's own settings that are removed.
		Removed []string `yaml:"removed"`
	} `yaml:"labels"`
	Delete []string `yaml:"delete"`
}

// parsedDocument is a document in the form that is sent to an entry.
type parsedDocument struct {
	objects []contract.Object
	models  []contract.ModelVersion
}

// readDocument reads a document from a file, or from standard input for "-".
func readDocument(path string) (parsedDocument, error) {
	var raw []byte
	var err error
	if path == "-" {
		raw, err = io.ReadAll(os.Stdin)
	} else {
		raw, err = os.ReadFile(path)
	}
	if err != nil {
		return parsedDocument{}, failure.New(failure.BadDocument, "%v", err)
	}
	return parseDocument(path, raw)
}

// parseDocument decodes and validates a document. path is for error messages only.
func parseDocument(path string, raw []byte) (parsedDocument, error) {
	var d document
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	decoder.KnownFields(true)
	if err := decoder.Decode(&d); err != nil {
		return parsedDocument{}, failure.New(failure.BadDocument, "%s: %s", path, withoutGoTypes(err))
	}
	var p parsedDocument
	for _, add := range []func(*parsedDocument) error{d.addSources, d.addModels, d.addGroups, d.addOrganisations, d.addServices, d.addLabels, d.addDeletions} {
		if err := add(&p); err != nil {
			return parsedDocument{}, failure.New(failure.BadDocument, "%s: %s", path, failure.Of(err).Message())
		}
	}
	if len(p.objects)+len(p.models) == 0 {
		return parsedDocument{}, failure.New(failure.BadDocument, "%s: the document is empty", path)
	}
	return p, nil
}

// goTypePattern matches what the YAML library's errors say about Go types.
var goTypePattern = regexp.MustCompile(`(?s) in type .*|yaml: unmarshal errors:\n +`)

// withoutGoTypes returns the text of a YAML error without the names of Go types, which mean
// nothing to the author of the document. The line and the field remain.
func withoutGoTypes(err error) string { return goTypePattern.ReplaceAllString(err.Error(), "") }

// addObject encodes an object and adds it to the document.
func (p *parsedDocument) addObject(kind contract.ObjectKind, name string, body any) error {
	if name == "" {
		return failure.New(failure.BadDocument, "a %s has no name", kind)
	}
	o, err := contract.EncodeObject(kind, name, body)
	if err != nil {
		return err
	}
	p.objects = append(p.objects, o)
	return nil
}

func (d document) addSources(p *parsedDocument) error {
	for _, s := range d.Sources {
		if !strings.HasPrefix(s.URL, "http://") && !strings.HasPrefix(s.URL, "https://") {
			return failure.New(failure.BadDocument, "source %q: url %q is not http:// or https://", s.Name, s.URL)
		}
		if err := p.addObject(contract.KindSource, s.Name, contract.NewSource(strings.TrimSuffix(s.URL, "/"), s.Store)); err != nil {
			return err
		}
	}
	return nil
}

func (d document) addModels(p *parsedDocument) error {
	for _, m := range d.Models {
		if m.Name == "" || m.Version == "" {
			return failure.New(failure.BadDocument, "a model needs name and version")
		}
		p.models = append(p.models, contract.NewModelVersion(m.Name, m.Version))
	}
	return nil
}

func (d document) addGroups(p *parsedDocument) error {
	for _, g := range d.Groups {
		if _, err := vm.ParseSelector(g.Selector); err != nil {
			return err
		}
		role := g.Role
		if role == "" {
			role = contract.RoleServe
		}
		if role != contract.RoleServe && role != contract.RoleHold {
			return failure.New(failure.BadDocument, "group %q: role %q is not serve or hold", g.Name, role)
		}
		if err := p.addObject(contract.KindGroup, g.Name, contract.NewGroup(g.Selector, g.Model, g.Version, role)); err != nil {
			return err
		}
	}
	return nil
}

func (d document) addOrganisations(p *parsedDocument) error {
	for _, o := range d.Organisations {
		if o.Weight == 0 {
			return failure.New(failure.BadDocument, "organisation %q: weight is 0 or missing; the least is 1", o.Name)
		}
		if err := p.addObject(contract.KindOrganisation, o.Name, contract.NewOrganisation(o.Weight, o.MaxInFlight)); err != nil {
			return err
		}
	}
	return nil
}

func (d document) addServices(p *parsedDocument) error {
	for _, s := range d.Services {
		if _, err := vm.ParseSelector(s.Selector); err != nil {
			return err
		}
		// Repeatable has no default: if it were true by mistake, retries would run calls twice, for
		// instance place an order twice.
		if s.Repeatable == nil {
			return failure.New(failure.BadDocument, "service %q: say repeatable: true or false", s.Name)
		}
		if err := p.addObject(contract.KindService, s.Name, contract.NewService(s.Selector, *s.Repeatable)); err != nil {
			return err
		}
	}
	return nil
}

func (d document) addLabels(p *parsedDocument) error {
	for _, l := range d.Labels {
		if err := p.addObject(contract.KindLabels, l.VM, contract.NewLabelSet(l.Labels, l.Removed)); err != nil {
			return err
		}
	}
	return nil
}

func (d document) addDeletions(p *parsedDocument) error {
	for _, key := range d.Delete {
		kind, name, ok := strings.Cut(key, "/")
		if !ok || name == "" || !knownKind(kind) {
			return failure.New(failure.BadDocument, "delete %q is not KIND/NAME; kinds are %s", key, kindList())
		}
		p.objects = append(p.objects, contract.NewObject(contract.ObjectKind(kind), name, 0, nil))
	}
	return nil
}

func knownKind(kind string) bool {
	for _, k := range contract.ObjectKinds() {
		if string(k) == kind {
			return true
		}
	}
	return false
}

func kindList() string {
	var kinds []string
	for _, k := range contract.ObjectKinds() {
		kinds = append(kinds, string(k))
	}
	return strings.Join(kinds, ", ")
}
