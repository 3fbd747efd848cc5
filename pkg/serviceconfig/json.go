// ================================================================
// The JSON form of a document, as operators write it. Durations are in milliseconds.
//
//	{"number": 7,
//	 "routes": [{"name": "draft", "host": "menus.example", "prefix": "/draft/", "kind": "stream",
//	             "timeout_ms": 6000, "objective_ms": 500, "resumable": true, "attempts": 2,
//	             "targets": [{"service": "menu", "weight": 1}]}],
//	 "services": [{"name": "menu", "max_connections": 424}],
//	 "organisations": [{"name": "larder", "keys": ["k1", "k2"]}]}
// ================================================================

package serviceconfig

import (
	"bytes"
	"encoding/json"
	"time"
)

type documentJSON struct {
	Number        *uint64            `json:"number"`
	Routes        []routeJSON        `json:"routes"`
	Services      []serviceJSON      `json:"services"`
	Organisations []organisationJSON `json:"organisations"`
	Limits        limitsJSON         `json:"limits"`
}

type routeJSON struct {
	Name         string       `json:"name"`
	Host         string       `json:"host"`
	Prefix       string       `json:"prefix"`
	Kind         Kind         `json:"kind"`
	Timeout      int64        `json:"timeout_ms"`
	Objective    int64        `json:"objective_ms"`
	GapObjective int64        `json:"gap_objective_ms"`
	Priority     int          `json:"priority"`
	Targets      []targetJSON `json:"targets"`
	Attempts     int          `json:"attempts"`
	Anonymous    bool         `json:"anonymous"`
	Resumable    bool         `json:"resumable"`
	Regions      []string     `json:"allowed_regions"`
}

type targetJSON struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

type serviceJSON struct {
	Name           string      `json:"name"`
	HealthPath     string      `json:"health_path"`
	MaxConnections int         `json:"max_connections"`
	Origin         string      `json:"origin"`
	Engine         *engineJSON `json:"engine"`
	WarmupRate     float64     `json:"warmup_per_second"`
}

type engineJSON struct {
	Slots            int      `json:"slots"`
	Models           []string `json:"models"`
	Layers           int      `json:"layers"`
	Chunks           int      `json:"chunks"`
	ChunkBytes       int      `json:"chunk_bytes"`
	Step             float64  `json:"step_ms"`
	PrefillPerSecond float64  `json:"prefill_per_second"`
	Warm             int64    `json:"warm_ms"`
}

type organisationJSON struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority *int     `json:"priority"`
	Regions  []string `json:"allowed_regions"`
}

type limitsJSON struct {
	MaxHeader     int   `json:"max_header_bytes"`
	MaxBody       int   `json:"max_body_bytes"`
	HeaderTimeout int64 `json:"header_timeout_ms"`
	IdleTimeout   int64 `json:"idle_timeout_ms"`
}

// ParseJSON parses a document, without the validation of Check. Unknown fields are
// refused, because a misspelt field would otherwise count as missing. The failure has the
// kind BadDocument.
func ParseJSON(raw []byte) (Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var d documentJSON
	if err := decoder.Decode(&d); err != nil {
		return Document{}, badDocument("%v", err)
	}
	if d.Number == nil {
		return Document{}, badDocument("the document has no number")
	}
	document := Document{number: *d.Number, limits: Limits{
		maxHeader: d.Limits.MaxHeader, maxBody: d.Limits.MaxBody,
		headerTimeout: milliseconds(d.Limits.HeaderTimeout), idleTimeout: milliseconds(d.Limits.IdleTimeout),
	}}
	for _, r := range d.Routes {
		document.routes = append(document.routes, r.route())
	}
	for _, s := range d.Services {
		document.services = append(document.services, Service{s.Name, s.HealthPath, s.MaxConnections, s.Origin, s.Engine.engine(), false, s.WarmupRate})
	}
	for _, o := range d.Organisations {
		organisation := Organisation{name: o.Name, keys: o.Keys, hasPriority: o.Priority != nil, allowedRegions: o.Regions}
		if o.Priority != nil {
			organisation.priority = *o.Priority
		}
		document.organisations = append(document.organisations, organisation)
	}
	return document, nil
}

func (r routeJSON) route() Route {
	var targets []Target
	for _, t := range r.Targets {
		targets = append(targets, Target{t.Service, t.Weight})
	}
	return Route{
		name: r.Name, host: r.Host, prefix: r.Prefix, kind: r.Kind,
		timeout: milliseconds(r.Timeout), responseObjective: milliseconds(r.Objective), gapObjective: milliseconds(r.GapObjective),
		priority: r.Priority, targets: targets, maxAttempts: max(r.Attempts, 1), anonymous: r.Anonymous, resumable: r.Resumable,
		allowedRegions: r.Regions,
	}
}

func (e *engineJSON) engine() Engine {
	if e == nil {
		return Engine{}
	}
	return Engine{
		slots: e.Slots, models: e.Models, layers: e.Layers, chunks: e.Chunks, chunkBytes: e.ChunkBytes,
		step: time.Duration(e.Step * float64(time.Millisecond)), prefillPerSecond: e.PrefillPerSecond, loadTime: milliseconds(e.Warm),
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
