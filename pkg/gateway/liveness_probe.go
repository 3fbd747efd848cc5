// ================================================================
// Probes whether the process of a backend server still runs: the server gets a request that runs nothing,
// and any response to it is proof. The probe uses an idle connection where there is one, so that it costs
// one round trip and no new connection. A connection that breaks proves nothing, since a server may reset
// connections above its limit; the probe then tries the next one, until the server responds or refuses a
// connection.
// ================================================================

package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tidepost/tidepost/pkg/upstream"
)

const (
	// minProbePause and maxProbePause bound the pause after a connection broke. A process that dies closes
	// its connections and its port within milliseconds; a server restarts after seconds.
	minProbePause = time.Millisecond
	maxProbePause = 50 * time.Millisecond
	// maxProbeBody bounds the body of a response to a probe, which is read only so that the connection can
	// be reused.
	maxProbeBody = 64 << 10
)

// livenessProbe is what is needed to probe one incarnation of a backend server.
type livenessProbe struct {
	pool         *upstream.Pool
	request      upstream.Request
	incarnation  string
	readResponse func(status int, h http.Header) ResponseHead
	results      *prometheus.CounterVec // counts the probes by result
}

func (x *exchange) livenessProbe() livenessProbe {
	incarnation := x.backend.latestRegistration().Incarnation()
	request := x.gateway.protocol.Probe(x.request.service, incarnation)
	request.Host = x.backend.address
	return livenessProbe{x.backend.pool, request, incarnation, x.gateway.protocol.ReadResponse, x.gateway.metrics.probes}
}

// run probes the backend server until it is known whether its process runs, or the timeout ends. sentAt is
// when the probe was sent to which it responded.
func (l livenessProbe) run(ctx context.Context, timeout time.Duration) (result probeResult, sentAt time.Time) {
	defer func() { l.results.WithLabelValues(string(result)).Inc() }()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for pause := minProbePause; ; pause = min(2*pause, maxProbePause) {
		if result, sentAt = l.try(ctx); result != probeUnanswered {
			return result, sentAt
		}
		select {
		case <-ctx.Done():
			return probeUnanswered, time.Time{}
		case <-time.After(pause):
		}
	}
}

// try sends one probe. ctx has a deadline.
func (l livenessProbe) try(ctx context.Context) (result probeResult, sentAt time.Time) {
	conn, err := l.pool.Get(ctx, dialTimeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeCrashed, time.Time{}
	case err != nil:
		return probeUnanswered, time.Time{}
	}
	sentAt = time.Now()
	deadline, _ := ctx.Deadline()
	response, err := conn.Exchange(ctx, l.request, deadline)
	if err != nil {
		conn.Abort()
		return probeUnanswered, time.Time{}
	}
	if _, err := upstream.ReadAll(response.Body, maxProbeBody); err != nil {
		conn.Close()
	} else {
		conn.Finish(response)
	}
	if l.isFromOther(response) {
		return probeCrashed, time.Time{}
	}
	return probeAlive, sentAt
}

// isFromOther reports whether another process responded, which has taken over the address.
func (l livenessProbe) isFromOther(response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || l.readResponse(response.StatusCode, response.Header).IsFromOther(l.incarnation)
}
