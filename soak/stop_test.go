// ================================================================
// Guards against requests over keep-alive connections that end without a response while their
// gateways are restarted, reloaded or short of processor time. The real programs are stopped,
// reloaded and suspended here, with a fixed seed and without measuring times: every request
// that ran at a server must be answered. pkg/gateway tests the individual causes. The incident
// is described in docs/incidents/.
// ================================================================

package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/tidepost/tidepost/platform/standin"
)

// longDeadline is a deadline that no request of these tests comes near.
const longDeadline = time.Minute

// smallClusterConfig is a cluster for runs in CI.
var smallClusterConfig = clusterConfig{control: 3, gateways: 2, engines: 3, plain: 2, plainServiceTime: plainServiceTime, rolloutDeadline: longDeadline}

// startKeepAliveCallers starts callers with keep-alive connections to all gateways. The
// function that it returns stops them and waits for the last responses.
func (cl *cluster) startKeepAliveCallers(t *testing.T) (end func() []standin.KeepAliveRequest) {
	ctx, cancel := context.WithCancel(t.Context())
	l := &keepAliveLoad{cluster: cl, streams: 3, plain: 3, pause: 20 * time.Millisecond, deadline: longDeadline}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx, seed(t))
	}()
	return func() []standin.KeepAliveRequest {
		cancel()
		<-done
		return l.finished
	}
}

// awaitServing waits until a gateway accepts requests again.
func (cl *cluster) awaitServing(i int) {
	cl.t.Helper()
	cl.must(standin.AwaitReady(cl.t.Context(), cl.address(gatewayVMs, i, readyPort)))
}

// Each gateway is stopped gracefully and started again during a configuration change and a
// reload of all programs, which meets one of them just after its start.
func TestStopsAndReloadsLeaveNothingUnanswered(t *testing.T) {
	cl := startCluster(t, smallClusterConfig, logFolder(t))
	end := cl.startKeepAliveCallers(t)
	reload := func() {
		for _, name := range cl.programs.names() {
			cl.programs.signal(name, syscall.SIGHUP)
		}
	}
	for i := range cl.config.gateways {
		name := nameOf("gateway", i)
		reload()
		cl.must(cl.operator.Reconfigure(t.Context(), engineFigures, standin.ConfigurationChange{Version: uint64(i + 2), ExtraRoutes: extraRoutesInCI}))
		cl.programs.stop(name, syscall.SIGTERM)
		cl.programs.restart(name)
		cl.awaitServing(i)
	}
	reload()
	checkAnswered(t, cl, end())
}

// extraRoutesInCI is how many routes a changed configuration has in CI beyond the default
// ones.
const extraRoutesInCI = 200

// checkAnswered checks that every request that ran at a server was answered correctly.
func checkAnswered(t *testing.T, cl *cluster, ended []standin.KeepAliveRequest) {
	t.Helper()
	v := cl.evaluate(ended, nil)
	if v.ends[standin.Succeeded] == 0 {
		t.Fatal("nothing was answered")
	}
	for _, c := range v.cuts {
		if c.ran > 0 {
			t.Errorf("%s", c.reportLine())
		}
	}
	for _, k := range v.wrongResponses {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
}

// requestDuringPause sends one request over its own connection, suspends the gateway after the
// request has run for a while, and returns the outcome.
func (cl *cluster) requestDuringPause(t *testing.T, a standin.Request, delay, pause time.Duration) standin.KeepAliveRequest {
	ended := make(chan standin.KeepAliveRequest, 1)
	ctx, cancel := context.WithCancel(t.Context())
	c := &standin.KeepAliveCaller{
		Name: "paused", Gateway: cl.address(gatewayVMs, 0, callersPort), Rand: rand.New(rand.NewPCG(seed(t), 0)),
		NextRequest: func(*rand.Rand) standin.Request { return a },
		OnEnd: func(k standin.KeepAliveRequest) {
			ended <- k
			cancel()
		},
	}
	go c.Run(ctx)
	for cl.runLog.Runs(pausedRequestID) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(delay)
	gateway := nameOf("gateway", 0)
	cl.programs.signal(gateway, syscall.SIGSTOP)
	time.Sleep(pause)
	cl.programs.signal(gateway, syscall.SIGCONT)
	return <-ended
}

// pausedRequestID is the ID of requestDuringPause's request.
const pausedRequestID = "paused-0"

// A gateway is suspended until long after the deadline of a running request and then resumes.
// The caller is still waiting and gets a response.
func TestAnswerAfterAPauseIsWritten(t *testing.T) {
	cl := startCluster(t, smallClusterConfig, logFolder(t))
	k := cl.requestDuringPause(t, standin.Request{Kind: standin.Unsafe, Timeout: plainDeadline}, 0, 2*plainDeadline)
	if k.Outcome != standin.Succeeded && k.Outcome != standin.Refused {
		t.Errorf("%s: %s, %s", k.ID, k.Outcome, k.Reason)
	}
}

// A gateway is suspended in the middle of a stream for longer than the longest pause that it
// allows a backend server. The events of that time wait in its socket buffer: the backend
// server was not silent, so the gateway must neither cancel the stream nor retry it.
func TestPauseOfAGatewayBreaksNoStream(t *testing.T) {
	const (
		pause      = 1500 * time.Millisecond
		before     = 500 * time.Millisecond // the first events reach the caller
		longStream = 300
	)
	cl := startCluster(t, smallClusterConfig, logFolder(t))
	a := standin.Request{Kind: standin.Stream, Timeout: longDeadline, Stride: engineFigures.Stride, Prompt: minPrompt, Tokens: longStream}
	k := cl.requestDuringPause(t, a, before, pause)
	if k.Outcome != standin.Succeeded || k.Reason != "" {
		t.Errorf("%s: %s, %s", k.ID, k.Outcome, k.Reason)
	}
	if n := cl.runLog.Runs(pausedRequestID); n != 1 {
		t.Errorf("the request ran %d times; want 1", n)
	}
}
