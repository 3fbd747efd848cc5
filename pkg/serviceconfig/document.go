// ================================================================
// The service configuration: the routes, the services that they lead to, and the
// organisations that may use them. Operators send the whole document with a number that
// they choose; the highest number is in force.
//
//	number: 7
//	routes: [{host: menus.example, prefix: /draft/, targets: [{service: menu, weight: 1}]}]
//	services: [{name: menu, max_connections: 424}]
//	organisations: [{name: larder, keys: [k1, k2]}]
//
// It is sent as a whole and not as changes, so that two concurrent operators are ordered by
// comparing two numbers, and a lost update can be sent again.
// ================================================================

// Package serviceconfig holds the configuration of routes, services and organisations, its
// validation and its lookup by host, path and key.
package serviceconfig

//go:generate go run github.com/tidepost/tidepost/tools/wiregen

import (
	"slices"
	"time"
)

// Kind is how often a request on a route may run.
type Kind string

// The kinds of routes.
const (
	// Repeatable requests are idempotent: they may run more than once.
	Repeatable Kind = "repeatable"
	// Once requests run at most once per attempt of a client.
	Once Kind = "once"
	// Stream requests get a stream of events as response. On a resumable route they may
	// run again.
	Stream Kind = "stream"
)

// Document is a whole configuration.
//
//wire:generate
type Document struct {
	// number is chosen by the operators; the highest is in force.
	number uint64
	// routes are matched by host and longest prefix.
	routes []Route
	// services are the targets of routes.
	services []Service
	// organisations hold the keys; without any, no key is required.
	organisations []Organisation
	// limits bound the requests of clients.
	limits Limits
}

// Route maps requests of a host and path prefix to services.
//
//wire:generate
type Route struct {
	// name identifies the route in logs and metrics.
	name string
	// host is matched without port, in lower case.
	host string
	// prefix begins and ends with a slash.
	prefix string
	// kind is how often a request may run.
	kind Kind
	// timeout bounds the duration of a request.
	timeout time.Duration
	// responseObjective is the target time until the response, or until the first event.
	responseObjective time.Duration
	// gapObjective is the target for the longest gap between events.
	gapObjective time.Duration
	// priority is 0 for the highest.
	priority int
	// targets are the services with their weights.
	targets []Target
	// maxAttempts is the number of backend servers that one request may be sent to.
	maxAttempts int
	// anonymous routes need no key.
	anonymous bool
	// resumable streams may continue at another backend server.
	resumable bool
	// allowedRegions are the regions where its requests may be served; empty for all.
	allowedRegions []string
}

// Target is one service of a route and its weight.
//
//wire:generate
type Target struct {
	// service is the name of a service.
	service string
	// weight over the sum of the route's weights is the service's share of the requests.
	weight uint32
}

// Service is a set of equivalent backend servers.
//
//wire:generate
type Service struct {
	// name is unique among services.
	name string
	// healthPath responds 200 while a backend server is healthy; may be empty.
	healthPath string
	// maxConnections is the number of connections that one backend server accepts from
	// all callers.
	maxConnections int
	// origin is the address of a weights origin, IP:PORT; empty for others.
	origin string
	// engine describes the model engines; a plain service has zero slots.
	engine Engine
	// interruptible is whether all requests for the service may continue at another
	// backend server when one fails. Only ForEngines sets it, for processes on engine VMs,
	// which get no routes.
	interruptible bool
	// warmupRate is the number of requests per second that one backend server accepts from all
	// gateways together while it warms up; 0 for no limit.
	warmupRate float64
}

// Engine describes the model engines of a service.
//
//wire:generate
type Engine struct {
	// slots is the number of requests that one engine runs concurrently.
	slots int
	// models are the names of the served models.
	models []string
	// layers is the number of layers of the model.
	layers int
	// chunks is the number of chunks of the model's weights.
	chunks int
	// chunkBytes is the size of a chunk in bytes.
	chunkBytes int
	// step is the base duration of one decode step of a batch.
	step time.Duration
	// perSequence is the additional step duration per running request.
	perSequence time.Duration
	// prefillPerSecond is the prefill rate in prompt tokens per second; 0 if unknown.
	prefillPerSecond float64
	// usualPrompt is the mean number of prompt tokens of a request.
	usualPrompt int
	// usualAnswer is the mean number of output tokens of a request.
	usualAnswer int
	// loadTime is how long an engine loads a completely staged copy.
	loadTime time.Duration
	// stride is the number of tokens decoded per running request between two scheduling
	// points, at which queued requests may start; 0 if unknown.
	stride int
}

// Organisation is a caller's organisation with its keys.
//
//wire:generate
type Organisation struct {
	// name is unique among organisations.
	name string
	// keys authenticate its callers.
	keys []string
	// priority overrides that of the route if hasPriority.
	priority int
	// hasPriority is whether priority is set.
	hasPriority bool
	// allowedRegions are the regions where its requests may be served; empty for all.
	allowedRegions []string
}

// Limits bound the requests of clients. A zero field leaves the gateway's own limit.
//
//wire:generate
type Limits struct {
	// maxHeader bounds the headers, in bytes.
	maxHeader int
	// maxBody bounds the body, in bytes.
	maxBody int
	// headerTimeout bounds the time in which the headers must arrive.
	headerTimeout time.Duration
	// idleTimeout is how long a connection may stay idle.
	idleTimeout time.Duration
}

// HasService reports whether a service is configured.
func (d Document) HasService(name string) bool {
	return slices.ContainsFunc(d.services, func(s Service) bool { return s.name == name })
}

// ForEngines returns the part of the document for processes on engine VMs: the services,
// with interruptible set from their routes, and no routes or organisations.
func (d Document) ForEngines() Document {
	nonIdempotent := map[string]bool{}
	for _, r := range d.routes {
		for _, t := range r.targets {
			nonIdempotent[t.service] = nonIdempotent[t.service] || !r.Idempotent()
		}
	}
	services := slices.Clone(d.services)
	for i := range services {
		services[i].interruptible = !nonIdempotent[services[i].name]
	}
	return Document{number: d.number, services: services}
}

// Idempotent reports whether requests of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.kind == Repeatable || (r.kind == Stream && r.resumable)
}

// SlotInterval returns the mean time until a full engine has a free slot: the decode time
// of a usual request over the slots, plus its prefill time.
func (e Engine) SlotInterval() time.Duration {
	return time.Duration(e.usualAnswer)*e.step/time.Duration(max(e.slots, 1)) + e.UsualPrefillTime()
}

// UsualPrefillTime returns how long an engine prefills a usual prompt; 0 if its rate is
// unknown.
func (e Engine) UsualPrefillTime() time.Duration { return e.PrefillTime(e.usualPrompt) }

// PrefillTime returns how long an engine prefills so many prompt tokens; 0 if its rate is
// unknown.
func (e Engine) PrefillTime(tokens int) time.Duration {
	if e.prefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.prefillPerSecond * float64(time.Second))
}

// PromptWithin returns the longest prompt, in tokens, that an engine prefills within a time; 0 if the rate is
// unknown or there is no time.
func (e Engine) PromptWithin(limit time.Duration) int {
	return max(int(limit.Seconds()*e.prefillPerSecond), 0)
}
