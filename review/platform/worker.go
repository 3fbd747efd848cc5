// ================================================================
// A plain worker, as on the protocol page: it sends heartbeats to one control node and moves to the next one
// after a failure, answers 421 to requests for another worker, and leaves in the ways that the page names.
// ================================================================

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a worker.
type arrival struct {
	id       string
	at       time.Time
	finished bool // the worker answered it
}

// portalSlots and portalQueue are those of the sheet's menu-portal.
const portalSlots, portalQueue = 6, 24

type worker struct {
	deployment *deployment
	id         string
	index      int // of its machine
	workTime   time.Duration
	slots      int
	places     *places
	client     *http.Client
	server     *http.Server
	node       int // the control node that it calls

	mu       sync.Mutex
	sequence int
	born     int64
	silent   bool // it sends no heartbeats any more
	arrivals []*arrival
}

func newWorker(d *deployment, id string, index, node int, workTime time.Duration) *worker {
	w := &worker{deployment: d, id: id, index: index, node: node, workTime: workTime, slots: portalSlots, places: newPlaces(portalSlots, portalQueue), client: newClient(), born: time.Now().UnixMilli()}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", w.health)
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Addr: d.address(workerMachines, index, workerPort), Handler: mux}
	return w
}

// run serves and sends heartbeats until the context ends.
func (w *worker) run(ctx context.Context) {
	go func() {
		if err := w.server.ListenAndServe(); err != http.ErrServerClosed {
			w.deployment.record.say("worker %s: %v", w.id, err)
		}
	}()
	w.sendBeats(ctx)
}

// sendBeats sends heartbeats until the context ends or the worker falls silent.
func (w *worker) sendBeats(ctx context.Context) {
	go func() {
		for ctx.Err() == nil {
			w.mu.Lock()
			silent := w.silent
			w.mu.Unlock()
			if silent {
				return
			}
			w.beat(ctx)
			time.Sleep(heartbeatInterval)
		}
	}()
}

func (w *worker) health(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("X-Instance-Id", w.id)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a := &arrival{id: id, at: time.Now()}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	leaving := w.silent
	w.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	if !w.places.take() {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		w.finish(a)
		return
	}
	defer w.places.free()
	w.deployment.record.log("run     %s at worker %s", id, w.id)
	select {
	case <-time.After(w.workTime):
	case <-r.Context().Done():
		return
	}
	if leaving {
		rw.Header().Set("Connection", "close")
	}
	rw.Header().Set("X-Response-Seal", "seal-"+w.id+"-"+id)
	_, _ = io.WriteString(rw, "whole answer to "+id+"\n")
	w.finish(a)
}

// finish records that a request was answered.
func (w *worker) finish(a *arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.finished = true
}

// beat sends a heartbeat until a node acknowledges it, and returns that node's index; -1 for none.
func (w *worker) beat(ctx context.Context) int {
	w.mu.Lock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": portal, "address": w.server.Addr, "zone": zoneOf(w.index), "version": "v1", "slots": w.slots,
		"state": "ready", "cold_left_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	w.mu.Unlock()
	return w.call(ctx, http.MethodPut, body)
}

// leave sends DELETE until a node acknowledges it, and returns that node's index; -1 for none.
func (w *worker) leave(ctx context.Context) int {
	w.mu.Lock()
	w.silent = true
	w.mu.Unlock()
	return w.call(ctx, http.MethodDelete, nil)
}

func (w *worker) call(ctx context.Context, method string, body []byte) int {
	nodes := w.deployment.nodes()
	for pause := 10 * time.Millisecond; pause < time.Second; pause *= 2 {
		status, _ := callControl(ctx, w.client, method, w.deployment.address(controlMachines, nodes[w.node%len(nodes)], controlPort), "/api/instances/"+w.id, body)
		if status >= 200 && status < 300 {
			return nodes[w.node%len(nodes)]
		}
		w.node = (w.node + 1) % len(nodes)
		time.Sleep(pause)
	}
	return -1
}

// end ends the worker with all of its connections.
func (w *worker) end() {
	w.mu.Lock()
	w.silent = true
	w.mu.Unlock()
	_ = w.server.Close()
	w.deployment.record.log("end     worker %s", w.id)
}

// snapshot returns a copy of the requests that reached the worker.
func (w *worker) snapshot() (all []arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		all = append(all, *a)
	}
	return all
}

func (w *worker) String() string { return fmt.Sprintf("worker %s", w.id) }
