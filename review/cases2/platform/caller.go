// Callers of a gateway, each with one kept connection. Each attempt has an id of its own.

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is what a caller has seen of one request.
type attempt struct {
	id, kind string
	status   int // 0 if the connection closed without an answer
	body     string
}

// attempts are those of all callers.
type attempts struct {
	mu  sync.Mutex
	all []attempt
}

func (a *attempts) add(one attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, one)
}

// call sends requests of a kind over one connection, at random intervals, until the context ends.
func (a *attempts) call(ctx context.Context, front, kind, name string, interval time.Duration) {
	const deadline = 4 * time.Second
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: 1, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	for n := 0; ctx.Err() == nil; n++ {
		next := time.After(time.Duration((0.5 + rand.Float64()) * float64(interval)))
		id := fmt.Sprintf("%s-%s-%d", kind, name, n)
		a.add(send(client, front, kind, id, deadline))
		select {
		case <-ctx.Done():
		case <-next:
		}
	}
}

// send sends one request and returns what came back.
func send(client *http.Client, front, kind, id string, deadline time.Duration) attempt {
	request, err := http.NewRequest(http.MethodPost, "http://"+front+"/order", bytes.NewReader([]byte("body of "+id)))
	if err != nil {
		return attempt{id: id, kind: kind}
	}
	request.Host = kind + ".example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	// http.Client must not send it again on another connection.
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		return attempt{id: id, kind: kind}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return attempt{id: id, kind: kind}
	}
	return attempt{id: id, kind: kind, status: response.StatusCode, body: string(body)}
}

// awaitReady waits until a gateway says that it is ready.
func awaitReady(address string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, _ := call(http.MethodGet, "http://"+address+"/api/ready", nil); status == http.StatusOK {
			return true
		}
	}
	return false
}
