// ================================================================
// The operator and the calls to control nodes, as on the protocol page: a call moves to another node after a
// failure, a 5xx, a 408 or 429, or a second without a reply, and is sent again unchanged.
// ================================================================

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callControl makes one call; status 0 means that no answer came.
func callControl(ctx context.Context, client *http.Client, method, node, path string, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(io.LimitReader(response.Body, 8<<20))
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// newClient returns a client that opens a connection for each call.
func newClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// put sends a configuration until a node acknowledges it, and returns that node's index.
func (d *deployment) put(ctx context.Context, first int, configuration map[string]any) (acknowledgedBy int, err error) {
	body, err := json.Marshal(configuration)
	if err != nil {
		return 0, err
	}
	nodes, client := d.nodes(), newClient()
	pause := 20 * time.Millisecond
	for i := first; ctx.Err() == nil; i++ {
		node := nodes[i%len(nodes)]
		status, answer := callControl(ctx, client, http.MethodPut, d.address(controlMachines, node, controlPort), "/api/config", body)
		d.record.log("put     configuration %v at %s: %d %.80s", configuration["version"], controlName(node), status, answer)
		if status == http.StatusOK {
			return node, nil
		}
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return 0, fmt.Errorf("the configuration was refused: %d %s", status, answer)
		}
		time.Sleep(pause)
		pause = min(2*pause, 200*time.Millisecond)
	}
	return 0, ctx.Err()
}

// readVersion reads the configuration at a node; version -1 means that it gave none.
func (d *deployment) readVersion(ctx context.Context, node int) (status, version int) {
	status, answer := callControl(ctx, newClient(), http.MethodGet, d.address(controlMachines, node, controlPort), "/api/config", nil)
	var held struct {
		Version *int `json:"version"`
	}
	if status == http.StatusOK && json.Unmarshal(answer, &held) == nil && held.Version != nil {
		return status, *held.Version
	}
	return status, -1
}

// The parts of the configuration that clients use.
const (
	portalHost = "jepu9.example"
	modelHost  = "hulo84.example"
	portal     = "menu-portal"
	apiKey     = "jnbanfqasnmgkcuyj8pj"
	tenantName = "bozi300"
)

// configuration returns a configuration with a safe and an unsafe route to the portal's workers.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": portalHost, "path_prefix": prefix, "route_kind": kind, "timeout_ms": 4000, "slo_ms": 300,
			"priority": 1, "service": portal, "max_attempts": 2, "allow_anonymous": false,
		}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("menu-fetch", "/menu/", "unsafe"), route("allergen-card", "/card/", "safe")},
		"services": []any{map[string]any{"name": portal, "health_path": "/health", "max_conns": modelConnections, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenantName, "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// awaitReady waits until all gateways call themselves ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	client := newClient()
	for i := range d.gateways {
		for {
			status, _ := callControl(ctx, client, http.MethodGet, d.address(gatewayMachines, i, readyPort), "/api/ready", nil)
			if status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%w: %s isn't ready", errCannotRun, gatewayName(i))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
