package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	id       string
	kind     string // unsafe or safe
	gateway  int
	sentAt   time.Time
	status   int // 0 if no complete answer came
	detail   string
	answered time.Time
}

// clients sends requests and keeps what came back.
type clients struct {
	deployment *deployment
	mu         sync.Mutex
	answers    map[string]answer
	active     sync.WaitGroup
}

func newClients(d *deployment) *clients { return &clients{deployment: d, answers: map[string]answer{}} }

// load sends requests to each gateway in turn, one each interval, until the context ends. Four in five are unsafe.
func (c *clients) load(ctx context.Context, interval time.Duration) {
	kept := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 32}}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		kind, path := "unsafe", "/menu/week"
		if n%5 == 4 {
			kind, path = "safe", "/card/nuts"
		}
		id := fmt.Sprintf("r%06d", n)
		c.active.Add(1)
		go func() {
			defer c.active.Done()
			c.send(kept, id, kind, path, n%c.deployment.gateways)
		}()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	c.active.Wait()
}

// send makes one attempt of a request.
func (c *clients) send(client *http.Client, id, kind, path string, gateway int) answer {
	const deadline = 4 * time.Second
	a := answer{id: id, kind: kind, gateway: gateway, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.deployment.address(gatewayMachines, gateway, callersPort)+path, strings.NewReader("body of "+id))
	if err != nil {
		panic(err) // the address comes from the case
	}
	r.GetBody = nil // keeps net/http from sending it again by itself
	r.Host = portalHost
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "4000")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	c.deployment.record.log("send    %s %s to %s", id, kind, gatewayName(gateway))
	response, err := client.Do(r)
	if err != nil {
		a.detail = err.Error()
	} else {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.detail = strings.TrimSpace(string(body))
		if err == nil {
			a.status = response.StatusCode
		} else {
			a.detail = err.Error()
		}
	}
	a.answered = time.Now()
	c.deployment.record.log("answer  %s %d %.100s", id, a.status, a.detail)
	c.mu.Lock()
	c.answers[id] = a
	c.mu.Unlock()
	return a
}

func (c *clients) get(id string) (answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.answers[id]
	return a, ok
}
