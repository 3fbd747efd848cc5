// ================================================================
// The view: an immutable index of the configuration for request handlers, with decoded objects and
// parsed selectors, built once per revision.
// ================================================================

package configstate

import (
	"sort"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

// group is a group of the configuration with its parsed selector.
type group struct {
	name     string
	spec     contract.Group
	selector vm.Selector
}

// service is a service of the configuration with its parsed selector.
type service struct {
	spec     contract.Service
	selector vm.Selector
}

// View is an immutable index of one revision. It is safe for concurrent use.
type View struct {
	revision      uint64
	groups        []group
	models        map[string]contract.Model
	organisations map[string]contract.Organisation
	services      map[string]service
	labels        map[vm.ID]contract.LabelSet
	sources       []contract.Source
	digests       map[string]contract.Digest
	servedDigests map[string][]contract.Digest
}

func newView(revision uint64, objects map[contract.Key]contract.Object) *View {
	v := &View{
		revision:      revision,
		models:        map[string]contract.Model{},
		organisations: map[string]contract.Organisation{},
		services:      map[string]service{},
		labels:        map[vm.ID]contract.LabelSet{},
		digests:       map[string]contract.Digest{},
		servedDigests: map[string][]contract.Digest{},
	}
	for key, o := range objects {
		if !o.Deleted() {
			v.add(key, o)
		}
	}
	sort.Slice(v.groups, func(i, j int) bool { return v.groups[i].name < v.groups[j].name })
	v.indexServed()
	return v
}

// add indexes an object. Objects that cannot be decoded were rejected when the change was applied,
// so an error here means that a later release wrote the object; the index omits it.
func (v *View) add(key contract.Key, o contract.Object) {
	switch key.Kind {
	case contract.KindGroup:
		v.addGroup(key.Name, o)
	case contract.KindModel:
		if m, err := contract.DecodeBody[contract.Model](o); err == nil {
			v.models[key.Name] = m
			v.digests[key.Name] = m.Manifest().Digest()
		}
	case contract.KindOrganisation:
		if spec, err := contract.DecodeBody[contract.Organisation](o); err == nil {
			v.organisations[key.Name] = spec
		}
	case contract.KindService:
		v.addService(key.Name, o)
	case contract.KindLabels:
		if spec, err := contract.DecodeBody[contract.LabelSet](o); err == nil {
			v.labels[vm.ID(key.Name)] = spec
		}
	case contract.KindSource:
		if spec, err := contract.DecodeBody[contract.Source](o); err == nil {
			v.sources = append(v.sources, spec)
		}
	}
}

func (v *View) addGroup(name string, o contract.Object) {
	spec, err := contract.DecodeBody[contract.Group](o)
	if err != nil {
		return
	}
	if selector, err := vm.ParseSelector(spec.Selector()); err == nil {
		v.groups = append(v.groups, group{name, spec, selector})
	}
}

func (v *View) addService(name string, o contract.Object) {
	spec, err := contract.DecodeBody[contract.Service](o)
	if err != nil {
		return
	}
	if selector, err := vm.ParseSelector(spec.Selector()); err == nil {
		v.services[name] = service{spec, selector}
	}
}

// indexServed collects, for each model, the digests of the versions that groups serve.
func (v *View) indexServed() {
	for _, g := range v.groups {
		if g.spec.Role() != contract.RoleServe {
			continue
		}
		digest, ok := v.digests[contract.ModelKey(g.spec.Model(), g.spec.Version())]
		if ok && !containsDigest(v.servedDigests[g.spec.Model()], digest) {
			v.servedDigests[g.spec.Model()] = append(v.servedDigests[g.spec.Model()], digest)
		}
	}
}

func containsDigest(digests []contract.Digest, d contract.Digest) bool {
	for _, o := range digests {
		if o == d {
			return true
		}
	}
	return false
}

// ----------------------------------------------------------------
// Queries

// Revision returns the revision of the view.
func (v *View) Revision() uint64 { return v.revision }

// Organisation returns an organisation by name.
func (v *View) Organisation(name string) (contract.Organisation, bool) {
	o, ok := v.organisations[name]
	return o, ok
}

// Organisations returns all organisations by name. The caller must not modify the map.
func (v *View) Organisations() map[string]contract.Organisation { return v.organisations }

// Service returns a service by name.
func (v *View) Service(name string) (contract.Service, bool) {
	s, ok := v.services[name]
	return s.spec, ok
}

// Sources returns the sources of weights.
func (v *View) Sources() []contract.Source { return v.sources }

// ServedDigests returns the digests of the versions of a model that groups serve; false if no group
// serves it.
func (v *View) ServedDigests(model string) ([]contract.Digest, bool) {
	d, ok := v.servedDigests[model]
	return d, ok
}

// LabelsOf returns the labels of a VM: its own ones without those that operators removed, overridden
// by those that operators set.
func (v *View) LabelsOf(id vm.ID, own vm.Labels) vm.Labels {
	set := v.labels[id]
	merged := own.Merge(nil)
	for _, key := range set.Removed() {
		delete(merged, key)
	}
	return merged.Merge(set.Labels())
}

// Assignment is a copy of a model's version that a VM should hold, and its role.
type Assignment struct {
	Group    string
	Model    string
	Version  string
	Digest   contract.Digest
	Manifest contract.Manifest
	Role     contract.Role
}

// Assignments returns the copies that a VM with the given labels should hold, sorted by the name of
// the group.
func (v *View) Assignments(labels vm.Labels) []Assignment {
	var assignments []Assignment
	for _, g := range v.groups {
		key := contract.ModelKey(g.spec.Model(), g.spec.Version())
		m, ok := v.models[key]
		if !ok || !g.selector.Matches(labels) {
			continue
		}
		assignments = append(assignments, Assignment{
			Group: g.name, Model: g.spec.Model(), Version: g.spec.Version(),
			Digest: v.digests[key], Manifest: m.Manifest(), Role: g.spec.Role(),
		})
	}
	return assignments
}

// ServicesOf returns the sorted names of the services whose selector matches the labels of a VM.
func (v *View) ServicesOf(labels vm.Labels) []string {
	var names []string
	for name, s := range v.services {
		if s.selector.Matches(labels) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// ModelByDigest returns the model whose manifest has the given digest.
func (v *View) ModelByDigest(d contract.Digest) (contract.Model, bool) {
	for key, digest := range v.digests {
		if digest == d {
			return v.models[key], true
		}
	}
	return contract.Model{}, false
}

// ----------------------------------------------------------------
// Validation of a change

// checkReferences rejects objects that cannot be decoded, and groups that refer to a model which
// would not exist after the change.
func checkReferences(present map[contract.Key]contract.Object, written []contract.Object) *failure.Failure {
	overlay := map[contract.Key]contract.Object{}
	for _, o := range written {
		overlay[o.Key()] = o
	}
	exists := func(k contract.Key) bool {
		if o, ok := overlay[k]; ok {
			return !o.Deleted()
		}
		o, ok := present[k]
		return ok && !o.Deleted()
	}
	for _, o := range written {
		if o.Deleted() {
			continue
		}
		if err := checkObject(o, exists); err != nil {
			return failure.Of(err)
		}
	}
	return checkDeletedModels(present, overlay, exists)
}

func checkObject(o contract.Object, exists func(contract.Key) bool) error {
	switch o.Kind() {
	case contract.KindGroup:
		return checkGroup(o, exists)
	case contract.KindModel:
		m, err := contract.DecodeBody[contract.Model](o)
		if err != nil {
			return err
		}
		return m.Manifest().Validate()
	case contract.KindService:
		s, err := contract.DecodeBody[contract.Service](o)
		if err != nil {
			return err
		}
		_, err = vm.ParseSelector(s.Selector())
		return err
	case contract.KindOrganisation:
		spec, err := contract.DecodeBody[contract.Organisation](o)
		if err == nil && spec.Weight() == 0 {
			return failure.New(failure.BadDocument, "%s has weight 0; the minimum is 1", o.Key())
		}
		return err
	case contract.KindLabels:
		_, err := contract.DecodeBody[contract.LabelSet](o)
		return err
	case contract.KindSource:
		_, err := contract.DecodeBody[contract.Source](o)
		return err
	default:
		return failure.New(failure.BadDocument, "%s has an unknown kind", o.Key())
	}
}

func checkGroup(o contract.Object, exists func(contract.Key) bool) error {
	g, err := contract.DecodeBody[contract.Group](o)
	if err != nil {
		return err
	}
	if _, err := vm.ParseSelector(g.Selector()); err != nil {
		return err
	}
	if g.Role() != contract.RoleServe && g.Role() != contract.RoleHold {
		return failure.New(failure.BadDocument, "%s has role %q; valid roles are serve and hold", o.Key(), g.Role())
	}
	key := contract.Key{Kind: contract.KindModel, Name: contract.ModelKey(g.Model(), g.Version())}
	if !exists(key) {
		return failure.New(failure.BadDocument, "%s refers to %s, which is not configured", o.Key(), key)
	}
	return nil
}

// checkDeletedModels rejects the deletion of a model that a group still refers to.
func checkDeletedModels(present, overlay map[contract.Key]contract.Object, exists func(contract.Key) bool) *failure.Failure {
	deletes := false
	for _, o := range overlay {
		deletes = deletes || o.Deleted() && o.Kind() == contract.KindModel
	}
	if !deletes {
		return nil
	}
	for key, o := range present {
		if _, rewritten := overlay[key]; rewritten || key.Kind != contract.KindGroup || o.Deleted() {
			continue
		}
		if err := checkGroup(o, exists); err != nil {
			return failure.Of(err)
		}
	}
	return nil
}
