// ================================================================
// The configuration objects that operators write and the voters agree on.
//
//	group menu-north: selector purpose=menu carries model menu v7 as serve
// ================================================================

package contract

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

// ObjectKind names a kind of configuration object.
type ObjectKind string

// The kinds of objects.
const (
	KindGroup        ObjectKind = "group"
	KindModel        ObjectKind = "model"
	KindOrganisation ObjectKind = "organisation"
	KindService      ObjectKind = "service"
	KindLabels       ObjectKind = "labels"
	KindSource       ObjectKind = "source"
)

// ObjectKinds lists the kinds in the order that pages show them.
func ObjectKinds() []ObjectKind {
	return []ObjectKind{KindGroup, KindModel, KindOrganisation, KindService, KindLabels, KindSource}
}

// Role is what a group's VMs do with a model.
type Role string

// The roles.
const (
	// RoleServe loads the model and takes requests.
	RoleServe Role = "serve"
	// RoleHold keeps a verified copy on the VM without loading it.
	RoleHold Role = "hold"
)

// Group says which VMs carry which model.
//
//wire:generate
type Group struct {
	// selector picks the VMs by label.
	selector string
	// model is the name of the model that the VMs carry.
	model string
	// version is the version name, resolved to a digest in the model object.
	version string
	// role is what the VMs do with the model.
	role Role
}

// Model is a version name resolved to a digest, once for everybody.
//
//wire:generate
type Model struct {
	// model is the model's name.
	model string
	// version is the version's name at the origin.
	version string
	// manifest lists the chunks of the copy.
	manifest Manifest
}

// ModelKey returns the object name of a model's version.
func ModelKey(model, version string) string { return model + "@" + version }

// Organisation is a caller's organisation and its share.
//
//wire:generate
type Organisation struct {
	// weight is the organisation's share under pressure, relative to others.
	weight uint32
	// maxInFlight bounds its requests in flight at one entry; 0 is no bound.
	maxInFlight uint32
}

// Service is a plain service beside the model engines.
//
//wire:generate
type Service struct {
	// selector picks the VMs by label.
	selector string
	// repeatable says whether a call may run twice.
	repeatable bool
}

// LabelSet are labels that an operator put on a VM, over those of its settings.
//
//wire:generate
type LabelSet struct {
	// labels are the pairs.
	labels vm.Labels
	// removed are keys of the VM's own labels that do not count.
	removed []string
}

// Source is where weights come from.
//
//wire:generate
type Source struct {
	// url is the base of the HTTP interface.
	url string
	// store says that it is the rate-limited weight store, not the origin.
	store bool
}

// ----------------------------------------------------------------
// Objects in the log and in deltas

// Object is a configuration object in its encoded form.
//
//wire:generate
type Object struct {
	// kind is the kind of the object.
	kind ObjectKind
	// name is the object's name, unique in its kind.
	name string
	// revision is the revision at which the object last changed.
	revision uint64
	// body is the encoded object; empty when the object was deleted.
	body []byte
}

// Key identifies an object.
type Key struct {
	Kind ObjectKind
	Name string
}

// String returns kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Key returns the object's key.
func (o Object) Key() Key { return Key{o.kind, o.name} }

// Deleted tells whether the object is a deletion.
func (o Object) Deleted() bool { return len(o.body) == 0 }

// AtRevision returns a copy with another revision.
func (o Object) AtRevision(revision uint64) Object {
	o.revision = revision
	return o
}

// EncodeObject returns the object of a kind and name with the given body.
func EncodeObject(kind ObjectKind, name string, body any) (Object, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return Object{}, failure.New(failure.BadDocument, "object %s/%s cannot be encoded: %v", kind, name, err)
	}
	return NewObject(kind, name, 0, raw), nil
}

// DecodeBody reads the body of an object.
func DecodeBody[T any](o Object) (T, error) {
	var body T
	if err := msgpack.Unmarshal(o.body, &body); err != nil {
		return body, failure.New(failure.BadDocument, "object %s cannot be read: %v", o.Key(), err)
	}
	return body, nil
}
