// ================================================================
// The configuration objects that operators write and the control log's voters
// agree on, for example:
//
//	group menu-north: VMs with the label purpose=menu serve version v7 of model menu
// ================================================================

package contract

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/vm"
)

// ObjectKind is the name of a kind of configuration object.
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

// Role is the use of a model by the VMs of a group.
type Role string

// The roles.
const (
	// RoleServe loads the model and serves requests.
	RoleServe Role = "serve"
	// RoleHold keeps a verified copy on the VM without loading it.
	RoleHold Role = "hold"
)

// Group assigns a version of a model to VMs.
//
//wire:generate
type Group struct {
	// selector selects the VMs by label.
	selector string
	// model is the name of the model.
	model string
	// version is the version name; the model object resolves it to a digest.
	version string
	// role is the use of the model by the VMs.
	role Role
}

// Model resolves a version name to a manifest, once for all processes.
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

// Organisation is the configuration of a caller's organisation.
//
//wire:generate
type Organisation struct {
	// weight is the organisation's share under overload, relative to others.
	weight uint32
	// maxInFlight limits its requests in flight at one entry; 0 means no limit.
	maxInFlight uint32
}

// Service is a plain service beside the model engines.
//
//wire:generate
type Service struct {
	// selector selects the VMs by label.
	selector string
	// repeatable is true if a call may run twice.
	repeatable bool
}

// LabelSet overrides the labels in a VM's settings.
//
//wire:generate
type LabelSet struct {
	// labels are the labels to add or replace.
	labels vm.Labels
	// removed are the keys of labels to remove.
	removed []string
}

// Source is a server that weights are fetched from.
//
//wire:generate
type Source struct {
	// url is the base URL of the HTTP interface.
	url string
	// store is true for the rate-limited weight store and false for the origin.
	store bool
}

// ----------------------------------------------------------------
// Encoded objects in the control log and in deltas

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
	// body is the encoded object; empty if the object is deleted.
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

// Deleted reports whether the object is deleted.
func (o Object) Deleted() bool { return len(o.body) == 0 }

// AtRevision returns a copy of the object with another revision.
func (o Object) AtRevision(revision uint64) Object {
	o.revision = revision
	return o
}

// EncodeObject encodes a body as the object of a kind and name, at revision 0.
func EncodeObject(kind ObjectKind, name string, body any) (Object, error) {
	raw, err := msgpack.Marshal(body)
	if err != nil {
		return Object{}, failure.New(failure.BadDocument, "object %s/%s cannot be encoded: %v", kind, name, err)
	}
	return NewObject(kind, name, 0, raw), nil
}

// DecodeBody decodes the body of an object as a T. Its error is a BadDocument failure.
func DecodeBody[T any](o Object) (T, error) {
	var body T
	if err := msgpack.Unmarshal(o.body, &body); err != nil {
		return body, failure.New(failure.BadDocument, "object %s cannot be read: %v", o.Key(), err)
	}
	return body, nil
}
