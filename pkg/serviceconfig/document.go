// ================================================================
// The service configuration: which routes exist, which services they lead to,
// and which organisations may use them. Operators send it whole, under a
// number of their own; the highest number is in force.
//
//	number: 7
//	routes: [{host: menus.example, prefix: /draft/, targets: [{service: menu, weight: 1}]}]
//	services: [{name: menu, max_connections: 424}]
//	organisations: [{name: larder, keys: [k1, k2]}]
//
// Why whole and not as changes: two operators who race then agree by comparing
// two numbers, and a change that was lost on its way can be sent again.
// ================================================================

// Package serviceconfig holds the configuration of routes, services and
// organisations, its checks and its lookup by host, path and key.
package serviceconfig

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"slices"
	"time"
)

// Kind says how often a request on a route may run.
type Kind string

// The kinds of routes.
const (
	// Repeatable requests may run more than once.
	Repeatable Kind = "repeatable"
	// Once requests run at most once for each attempt of a client.
	Once Kind = "once"
	// Stream requests are answered by events; those of a resumable route may
	// run again.
	Stream Kind = "stream"
)

// Document is a whole configuration.
//
//wire:generate
type Document struct {
	// number is the operators' number; the highest is in force.
	number uint64
	// routes are matched by host and longest prefix.
	routes []Route
	// services are what routes lead to.
	services []Service
	// organisations hold the keys; none means that no key is asked for.
	organisations []Organisation
	// limits bound what a client may send.
	limits Limits
}

// Route leads requests of a host and path prefix to services.
//
//wire:generate
type Route struct {
	// name is for logs and metrics.
	name string
	// host is matched without port, in lower case.
	host string
	// prefix begins and ends with a slash.
	prefix string
	// kind says how often a request may run.
	kind Kind
	// timeout is the longest that a request is held.
	timeout time.Duration
	// objective is the time to the answer, or to the first event.
	objective time.Duration
	// gapObjective is the longest pause between events that is in time.
	gapObjective time.Duration
	// priority is the rank; 0 is highest.
	priority int
	// targets are the services with their weights.
	targets []Target
	// attempts is how many backend servers one request may be sent to.
	attempts int
	// anonymous needs no key.
	anonymous bool
	// resumable streams may go on at another backend server.
	resumable bool
}

// Target is one service of a route and its share.
//
//wire:generate
type Target struct {
	// service is the name of the service.
	service string
	// weight is its share in the sum of the route's weights.
	weight uint32
}

// Service is a set of backend servers that do the same.
//
//wire:generate
type Service struct {
	// name is unique among services.
	name string
	// healthPath answers 200 while a backend server is healthy; may be empty.
	healthPath string
	// maxConnections is what one backend server takes from all callers.
	maxConnections int
	// origin is the address of a weights origin, IP:PORT; empty for others.
	origin string
	// engine describes model engines; zero slots for plain services.
	engine Engine
	// interruptible says that all requests for the service may go on at another
	// backend server when one breaks off. It is only filled in for engines, which
	// get no routes: see ForEngines.
	interruptible bool
}

// Engine is what is known of the model engines of a service.
//
//wire:generate
type Engine struct {
	// slots is how many requests run at one time.
	slots int
	// models are the names of the models served.
	models []string
	// layers is the number of layers of the model.
	layers int
	// chunks is the number of chunks of a copy.
	chunks int
	// chunkBytes is the size of a chunk.
	chunkBytes int
	// step is the time of one token step of a batch.
	step time.Duration
	// perSequence is the added step time for each running request.
	perSequence time.Duration
	// prefillPerSecond is the rate at which prompt tokens are read.
	prefillPerSecond float64
	// usualPrompt and usualAnswer are mean tokens of a request.
	usualPrompt int
	usualAnswer int
	// loadTime is the time to take a whole staged copy.
	loadTime time.Duration
	// stride is how many tokens it writes for each running request between two
	// looks at what waits; 0 when not known.
	stride int
}

// Organisation is a caller's organisation with its keys.
//
//wire:generate
type Organisation struct {
	// name is unique among organisations.
	name string
	// keys are what its callers prove themselves with.
	keys []string
	// priority takes precedence over that of the route when HasPriority.
	priority int
	// hasPriority says that priority is given.
	hasPriority bool
}

// Limits bound what a client may send; a zero value is no limit of its own.
//
//wire:generate
type Limits struct {
	// maxHeader bounds the headers, in bytes.
	maxHeader int
	// maxBody bounds the body, in bytes.
	maxBody int
	// headerTimeout bounds the time that sending the headers may take.
	headerTimeout time.Duration
	// idleTimeout is how long a connection may rest.
	idleTimeout time.Duration
}

// HasService tells whether a service is configured.
func (d Document) HasService(name string) bool {
	return slices.ContainsFunc(d.services, func(s Service) bool { return s.name == name })
}

// ForEngines returns the part of the document that whoever serves engines
// needs: the services, and what of their routes matters there, without routes and
// organisations.
func (d Document) ForEngines() Document {
	once := map[string]bool{}
	for _, r := range d.routes {
		for _, t := range r.targets {
			once[t.service] = once[t.service] || !r.Idempotent()
		}
	}
	services := slices.Clone(d.services)
	for i := range services {
		services[i].interruptible = !once[services[i].name]
	}
	return Document{number: d.number, services: services}
}

// Idempotent tells whether requests of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.kind == Repeatable || (r.kind == Stream && r.resumable)
}

// SlotInterval is the mean time after which a full engine has a place for the next
// request: what a usual request takes of it.
func (e Engine) SlotInterval() time.Duration {
	return time.Duration(e.usualAnswer)*e.step/time.Duration(max(e.slots, 1)) + e.UsualPrefillTime()
}

// UsualPrefillTime is how long an engine reads the prompt of a usual request; 0
// when its rate is not known.
func (e Engine) UsualPrefillTime() time.Duration { return e.PrefillTime(e.usualPrompt) }

// PrefillTime is how long an engine reads some prompt tokens; 0 when its rate is not
// known.
func (e Engine) PrefillTime(tokens int) time.Duration {
	if e.prefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.prefillPerSecond * float64(time.Second))
}
