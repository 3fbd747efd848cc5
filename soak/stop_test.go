// ================================================================
// What was seen: requests over kept connections ended without an answer while gateways
// were rolled, reloaded or short of processor time. How it comes about: pkg/gateway's
// TestWhatWasReadIsAnswered has the ways, one by one. Here the real programs are stopped,
// reloaded and paused under kept connections, with a fixed seed and without a clock: what
// ran at a server is answered. What proved it stands in docs/incidents/.
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

// longDeadline is a deadline that no request of these runs comes near.
const longDeadline = time.Minute

// smallClusterConfig is a world for runs in CI.
var smallClusterConfig = clusterConfig{control: 3, gateways: 2, engines: 3, plain: 2, plainServiceTime: plainServiceTime, rolloutDeadline: longDeadline}

// startKeepAliveCallers runs callers that keep their connections to all gateways until the
// function that it returns is called, which waits for the last answers.
func (cl *cluster) startKeepAliveCallers(t *testing.T) (end func() []standin.KeepAliveRequest) {
	ctx, cancel := context.WithCancel(t.Context())
	l := &keepAliveLoad{cluster: cl, streams: 3, plain: 3, pause: 20 * time.Millisecond, deadline: longDeadline}
	over := make(chan struct{})
	go func() {
		defer close(over)
		l.run(ctx, seed(t))
	}()
	return func() []standin.KeepAliveRequest {
		cancel()
		<-over
		return l.finished
	}
}

// awaitServing waits until a gateway takes callers again.
func (cl *cluster) awaitServing(i int) {
	cl.t.Helper()
	cl.must(standin.AwaitReady(cl.t.Context(), cl.address(gatewayVMs, i, readyPort)))
}

// Each gateway is stopped in order and started again while a configuration goes out and
// all programs are told to reload, one of them just after its start.
func TestStopsAndReloadsLeaveNothingUnanswered(t *testing.T) {
	cl := startCluster(t, smallClusterConfig, logFolder(t))
	end := cl.startKeepAliveCallers(t)
	hangUp := func() {
		for _, name := range cl.programs.names() {
			cl.programs.signal(name, syscall.SIGHUP)
		}
	}
	for i := range cl.config.gateways {
		name := nameOf("gateway", i)
		hangUp()
		cl.must(cl.operator.Reconfigure(t.Context(), engineFigures, standin.ConfigurationChange{Version: uint64(i + 2), ExtraRoutes: extraRoutesInCI}))
		cl.programs.stop(name, syscall.SIGTERM)
		cl.programs.restart(name)
		cl.awaitServing(i)
	}
	hangUp()
	checkAnswered(t, cl, end())
}

// extraRoutesInCI is how many routes a configuration has in CI beyond the usual ones.
const extraRoutesInCI = 200

// checkAnswered checks that whatever ran at a server was answered, and truly.
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
	for _, k := range v.wrongAnswers {
		t.Errorf("%s: %s", k.ID, k.Reason)
	}
}

// requestDuringPause sends one request over a connection of its own, has the gateway stand still
// once the request has run for a while, and returns what became of it.
func (cl *cluster) requestDuringPause(t *testing.T, a standin.Request, ran, pause time.Duration) standin.KeepAliveRequest {
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
	for cl.ledger.Runs(pausedRequestID) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(ran)
	gateway := nameOf("gateway", 0)
	cl.programs.signal(gateway, syscall.SIGSTOP)
	time.Sleep(pause)
	cl.programs.signal(gateway, syscall.SIGCONT)
	return <-ended
}

// pausedRequestID is the id of askPaused's request.
const pausedRequestID = "paused-0"

// A gateway stands still until long after the deadline of a request that runs, and goes
// on. Its caller still waits, and is answered.
func TestAnswerAfterAPauseIsWritten(t *testing.T) {
	cl := startCluster(t, smallClusterConfig, logFolder(t))
	k := cl.requestDuringPause(t, standin.Request{Kind: standin.Unsafe, Timeout: plainDeadline}, 0, 2*plainDeadline)
	if k.Outcome != standin.Succeeded && k.Outcome != standin.Refused {
		t.Errorf("%s: %s, %s", k.ID, k.Outcome, k.Reason)
	}
}

// A gateway stands still in the middle of a stream for longer than the longest pause that
// it lets a backend server have. What came meanwhile waits at its socket: the backend
// server was not silent, and the stream is neither broken off nor run again.
func TestPauseOfAGatewayBreaksNoStream(t *testing.T) {
	const (
		pause      = 1500 * time.Millisecond
		before     = 500 * time.Millisecond // its first events pass
		longStream = 300
	)
	cl := startCluster(t, smallClusterConfig, logFolder(t))
	a := standin.Request{Kind: standin.Stream, Timeout: longDeadline, Stride: engineFigures.Stride, Prompt: minPrompt, Tokens: longStream}
	k := cl.requestDuringPause(t, a, before, pause)
	if k.Outcome != standin.Succeeded || k.Reason != "" {
		t.Errorf("%s: %s, %s", k.ID, k.Outcome, k.Reason)
	}
	if n := cl.ledger.Runs(pausedRequestID); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}
