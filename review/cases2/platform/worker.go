// A worker of a plain service, as PROTOCOL.md tells: it registers with heartbeats, checks X-Expect-Instance, works on
// its slots, queues a few more requests, and says so when it has not run one.

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// workTime is what a request takes, and queueLength how many wait besides those that run.
	workTime    = 60 * time.Millisecond
	queueLength = 2
)

// runs counts the runs of each request at all workers.
type runs struct {
	mu    sync.Mutex
	byID  map[string][]string // the workers that ran it
	total int
}

func (r *runs) add(id, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], worker)
	r.total++
}

// worker is one worker. Its faults are set before it starts.
type worker struct {
	deployment *deployment
	runs       *runs
	id         string
	service    string
	address    string
	zone       string
	slots      int
	born       int64
	// breakEvery breaks off each so many answers; 0 for none.
	breakEvery int64
	// repeatRejections sends the answer to a health check that was rejected a second time, in the place where the
	// next answer of the connection is due.
	repeatRejections bool

	sequence atomic.Int64
	places   chan struct{} // taken by those that run or wait
	slot     chan struct{} // taken by those that run
	answers  atomic.Int64
	checks   atomic.Int64
	broken   atomic.Int64
	surplus  atomic.Int64
	rejected atomic.Int64
}

// run serves until the listener closes.
func (w *worker) run() error {
	w.born = time.Now().UnixMilli()
	w.places, w.slot = make(chan struct{}, w.slots+queueLength), make(chan struct{}, w.slots)
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	go w.sendHeartbeats()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return nil
}

func (w *worker) sendHeartbeats() {
	nodes := w.deployment.controlAddresses()
	for node := 0; ; {
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
			"cold_left_ms": 0, "sequence": w.sequence.Add(1), "born": w.born,
		})
		status, _ := call(http.MethodPut, "http://"+nodes[node%len(nodes)]+"/api/instances/"+w.id, body)
		if status != http.StatusOK {
			node++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeatInterval)
	}
}

// reply is one answer.
type reply struct {
	status int
	fields string // lines of the head
	body   string
}

func (r reply) bytes() []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", r.status, http.StatusText(r.status), r.fields, len(r.body), r.body)
}

// serve answers the requests of one connection, one at a time.
func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte // an answer that is sent again where the next one is due
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if late != nil {
			w.surplus.Add(1)
			w.deployment.note("%s: a surplus answer to a health check, where that to %s is due", w.id, request.Header.Get("X-Request-Id"))
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		isCheck := request.URL.Path == "/health"
		answer := w.answer(request, isCheck, conn)
		raw := answer.bytes()
		if _, err := conn.Write(raw); err != nil {
			return
		}
		if isCheck {
			w.checks.Add(1)
		}
		if isCheck && answer.status == http.StatusServiceUnavailable && w.repeatRejections {
			late = bytes.Clone(raw)
		}
	}
}

// answer works on a request. If its answer breaks off, that is in the middle of the work.
func (w *worker) answer(request *http.Request, isCheck bool, conn net.Conn) reply {
	id := request.Header.Get("X-Request-Id")
	echo := ""
	if id != "" {
		echo = "X-Request-Id: " + id + "\r\n"
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		return reply{http.StatusMisdirectedRequest, echo + "X-Not-Executed: 1\r\nX-Instance-Id: " + w.id + "\r\n", ""}
	}
	if id == "" && !isCheck {
		return reply{http.StatusBadRequest, "X-Not-Executed: 1\r\n", ""}
	}
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	default:
		w.rejected.Add(1)
		return reply{http.StatusServiceUnavailable, echo + "X-Not-Executed: 1\r\n", ""}
	}
	w.slot <- struct{}{}
	defer func() { <-w.slot }()
	if isCheck {
		return reply{http.StatusOK, "X-Instance-Id: " + w.id + "\r\n", ""}
	}
	w.runs.add(id, w.id)
	answer := reply{http.StatusOK, echo + "X-Response-Seal: s." + id + "\r\n", "done " + id}
	time.Sleep(workTime / 2)
	if count := w.answers.Add(1); w.breakEvery > 0 && count%w.breakEvery == 0 {
		w.broken.Add(1)
		w.deployment.note("%s: the answer to %s breaks off", w.id, id)
		raw := answer.bytes()
		_, _ = conn.Write(raw[:len(raw)/2])
		_ = conn.Close()
	}
	time.Sleep(workTime / 2)
	return answer
}
