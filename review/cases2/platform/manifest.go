package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

// The deployment of playManifest, and its load: about a third of what the engines can run.
const (
	manifestEngines = 6
	manifestBefore  = 5 * time.Second
	manifestAfter   = 80 * time.Second
	streamsPerS     = 12
	plainPerS       = 2
	streamPrompt    = 800
	streamTokens    = 80
)

var engineFigures = standin.EngineParams{
	Slots: 16, QueueLimit: 6, Step: 9270 * time.Microsecond, PerSequence: 23 * time.Microsecond, Stride: 5,
	PrefillPerSecond: 20700, UsualPrompt: 979, UsualAnswer: 92,
}

// spoilingOrigin passes on what an origin sends. It spoils one answer: in the first manifest of a version it changes
// one digit of one digest.
type spoilingOrigin struct {
	deployment *deployment
	target     string
	version    string // whose first manifest is spoilt; empty for none
	answers    atomic.Int64
	spoilt     atomic.Bool
}

// ServeHTTP passes on one call.
func (o *spoilingOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response, err := http.Get("http://" + o.target + r.URL.RequestURI())
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	o.answers.Add(1)
	var manifest struct {
		Digests []string `json:"digests"`
	}
	isManifest := response.StatusCode == http.StatusOK && json.Unmarshal(body, &manifest) == nil && len(manifest.Digests) > 0
	if isManifest {
		o.deployment.note("origin: %s: %d", r.URL.RequestURI(), response.StatusCode)
	}
	if isManifest && o.version != "" && r.URL.Query().Get("version") == o.version && o.spoilt.CompareAndSwap(false, true) {
		spoilDigit(body, manifest.Digests[0])
		o.deployment.note("origin: one digit of a digest in this manifest is spoilt")
	}
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body)
}

// spoilDigit changes the first digit of a digest in a body.
func spoilDigit(body []byte, digest string) {
	for at := range len(body) - len(digest) {
		if string(body[at:at+len(digest)]) == digest {
			body[at] = map[bool]byte{true: '1', false: '0'}[body[at] == '0']
			return
		}
	}
}

// startStager starts a stager beside an engine.
func (d *deployment) startStager(i int) error {
	name := fmt.Sprintf("side-%d", i+1)
	return d.start("tidepost-stager", name, d.common(name, sideClass, i)+fmt.Sprintf(`control: {seeds: %s}
engine: {address: %q, service: %s}
weights: {within: "8000ms"}
`, d.seeds(), d.address(sideClass, i, workerPort), standin.EngineService))
}

// startPrograms starts a small deployment: the core, gateways and stagers.
func (d *deployment) startPrograms(fronts, stagers int) error {
	for i := range d.cores {
		if err := d.startCore(i, true); err != nil {
			return err
		}
	}
	for i := range fronts {
		if err := d.startFront(i); err != nil {
			return err
		}
	}
	for i := range stagers {
		if err := d.startStager(i); err != nil {
			return err
		}
	}
	return nil
}

// startStandins starts engines and three plain servers. They send heartbeats.
func (d *deployment) startStandins(ctx context.Context, runLog *standin.RunLog) (engines []*standin.Engine) {
	born := time.Now()
	beats := func(instance, service, address, zone string, slots int, e *standin.Engine) {
		b := &standin.Heartbeats{
			Instance: instance, Service: service, Address: address, Zone: zone, Slots: slots, Engine: e, StartedAt: born,
			Interval: heartbeatInterval, ControlNodes: d.controlAddresses(),
		}
		go b.Run(ctx)
	}
	for i := range manifestEngines {
		e, address := standin.NewEngine(fmt.Sprintf("e-%d", i+1), engineFigures, runLog), d.address(sideClass, i, workerPort)
		engines = append(engines, e)
		// The project's engine doesn't say in its reports when it started.
		d.serve(ctx, e.Run, d.address(sideClass, i, engineTargetPort))
		d.serve(ctx, reporting{d.address(sideClass, i, engineTargetPort), born}.run, address)
		beats(e.Instance, standin.EngineService, address, zones[i%len(zones)], engineFigures.Slots, e)
	}
	for i := range 3 {
		s, address := &standin.Server{Instance: fmt.Sprintf("p-%d", i+1), ServiceTime: workTime, RunLog: runLog}, d.address(plainClass, i, workerPort)
		d.serve(ctx, s.Run, address)
		beats(s.Instance, standin.PlainService, address, zones[i], 6, nil)
	}
	return engines
}

// engineTargetPort is where the project's engine listens, behind reporting.
const engineTargetPort = 9001

// reporting passes on the calls of an engine, and adds to its reports when it started.
type reporting struct {
	target string
	born   time.Time
}

func (r reporting) run(ctx context.Context, address string) error {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: r.target})
	proxy.FlushInterval = -1
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	proxy.ModifyResponse = func(response *http.Response) error {
		if response.Request.URL.Path != "/api/report" {
			return nil
		}
		var report map[string]any
		if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
			return err
		}
		report["born"] = r.born.UnixMilli()
		body, err := json.Marshal(report)
		if err != nil {
			return err
		}
		response.Body, response.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
		response.Header.Set("Content-Length", strconv.Itoa(len(body)))
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	server := &http.Server{Handler: proxy, ErrorLog: log.New(io.Discard, "", 0)}
	if err := server.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}

// serve runs a stand-in until the context ends.
func (d *deployment) serve(ctx context.Context, run func(context.Context, string) error, address string) {
	go func() {
		if err := run(ctx, address); err != nil {
			d.note("%s: %v", address, err)
		}
	}()
}

// playManifest names a second version of the weights, whose manifest the origin sends spoilt once.
func playManifest(d *deployment, trouble bool) outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	origin := &standin.Origin{ChunkTime: 25 * time.Millisecond}
	d.serve(ctx, origin.Run, d.address(plainClass, 9, workerPort))
	spoiling := &spoilingOrigin{deployment: d, target: d.address(plainClass, 9, workerPort)}
	if trouble {
		spoiling.version = "2"
	}
	l, err := net.Listen("tcp", d.address(plainClass, 8, workerPort))
	if err != nil {
		return failed
	}
	go func() { _ = http.Serve(l, spoiling) }()
	engines := d.startStandins(ctx, standin.NewRunLog())
	if err := d.startPrograms(3, manifestEngines); err != nil {
		return failed
	}
	operator := standin.Operator{ControlNodes: d.controlAddresses(), Origin: d.address(plainClass, 8, workerPort)}
	name := func(version uint64) bool {
		origin.Publish(version)
		err := operator.SetWeightsVersion(ctx, version)
		d.note("operator: version %d of the weights is named and acknowledged: %v", version, err == nil)
		return err == nil
	}
	if operator.Configure(ctx, engineFigures) != nil || !name(standin.FirstVersion) {
		return failed
	}
	for i := range 3 {
		if !awaitReady(d.address(frontClass, i, readyPort), 20*time.Second) {
			return failed
		}
	}
	time.Sleep(3 * time.Second)
	results := &callResults{}
	loadCtx, endLoad := context.WithTimeout(ctx, manifestBefore+manifestAfter)
	defer endLoad()
	time.AfterFunc(manifestBefore, func() { name(2) })
	results.load(loadCtx, d)
	for _, e := range engines {
		d.note("%s serves version %d", e.Instance, e.ServedVersion())
	}
	d.note("origin: %d answers, a manifest spoilt: %t", spoiling.answers.Load(), spoiling.spoilt.Load())
	return results.judge(d)
}

// callResults are the results of callers.
type callResults struct {
	mu  sync.Mutex
	all []standin.Result
}

// load sends requests at random times until the context ends, and waits for their results.
func (c *callResults) load(ctx context.Context, d *deployment) {
	caller := standin.Caller{Gateway: func(int) string { return d.address(frontClass, rand.IntN(3), frontPort) }}
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		request := standin.Request{ID: fmt.Sprintf("r-%d", n), Kind: standin.Stream, Prompt: streamPrompt, Tokens: streamTokens, Stride: 5, Timeout: 6 * time.Second}
		if rand.Float64()*(streamsPerS+plainPerS) < plainPerS {
			request = standin.Request{ID: fmt.Sprintf("r-%d", n), Kind: standin.Safe, Timeout: 4 * time.Second}
		}
		group.Go(func() { c.add(d, twice(caller, request)) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / (streamsPerS + plainPerS))):
		}
	}
	group.Wait()
}

// retryAfter keeps the Retry-After of the last answer.
type retryAfter struct{ wait time.Duration }

// RoundTrip sends a request over a new connection.
func (r *retryAfter) RoundTrip(request *http.Request) (*http.Response, error) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err == nil {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		r.wait = time.Duration(seconds * float64(time.Second))
	}
	return response, err
}

// twice sends a request, and once more within its deadline if it wasn't served, as the callers of the site do. It waits as
// Retry-After says, up to a third of what is left.
func twice(caller standin.Caller, request standin.Request) standin.Result {
	started, refusal := time.Now(), &retryAfter{}
	caller.KeepAliveClient = &http.Client{Transport: refusal}
	result := caller.DoOnce(context.Background(), request, 0)
	left := request.Timeout - time.Since(started)
	if result.Complete || left <= 0 {
		return result
	}
	time.Sleep(min(max(refusal.wait, 50*time.Millisecond), left/3))
	request.Timeout -= time.Since(started)
	again := caller.DoOnce(context.Background(), request, 1)
	again.Attempts = append(result.Attempts, again.Attempts...)
	return again
}

func (c *callResults) add(d *deployment, r standin.Result) {
	d.note("%s (%s): served %t; %+v", r.Request.ID, r.Request.Kind, r.Complete, r.Attempts)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, r)
}

// maxUnserved is the largest share of the requests that may be refused or fail, by the rule Gate.
const maxUnserved = 0.6

func (c *callResults) judge(d *deployment) outcome {
	sent, served := map[standin.Kind]int{}, map[standin.Kind]int{}
	for _, r := range c.all {
		sent[r.Request.Kind]++
		if r.Complete {
			served[r.Request.Kind]++
		}
	}
	unserved := 1 - float64(served[standin.Stream]+served[standin.Safe])/float64(len(c.all))
	d.note("streams: %d of %d served; plain: %d of %d; refused or failed %.3f of all, at most %.1f may be", served[standin.Stream], sent[standin.Stream], served[standin.Safe], sent[standin.Safe], unserved, maxUnserved)
	if unserved > maxUnserved {
		return broken
	}
	return held
}
