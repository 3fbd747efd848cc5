// The operator, who sends configurations as PROTOCOL.md tells, and reads them back.

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// operatorPause is the first pause after a call without a clear answer; it grows with each.
const operatorPause = 100 * time.Millisecond

// configuration returns a whole configuration with two plain services.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			plainRoute("safe", "safe.example", "safe"),
			plainRoute("unsafe", "unsafe.example", "unsafe"),
		},
		"services": []map[string]any{{"name": "portal", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func plainRoute(name, host, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": "/", "route_kind": kind, "timeout_ms": 4000, "slo_ms": 300, "priority": 1,
		"service": "portal", "max_attempts": 2, "allow_anonymous": true, "sticky": false, "resumable": false,
	}
}

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func call(method, url string, body []byte) (status int, reply []byte) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	reply, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, reply
}

// put sends a configuration until it is acknowledged, and returns the index of the node that acknowledged it;
// -1 if none did in time.
func (d *deployment) put(version int, within time.Duration) int {
	body, _ := json.Marshal(configuration(version))
	pause := operatorPause
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		node := i % d.cores
		status, _ := call(http.MethodPut, "http://"+d.address(coreClass, node, controlPort)+"/api/config", body)
		d.note("operator: PUT config %d at core-%d: %d", version, node+1, status)
		if status == http.StatusOK {
			return node
		}
		time.Sleep(pause)
		pause = min(pause*3/2, time.Second)
	}
	return -1
}
