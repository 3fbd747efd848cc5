// ================================================================
// A fake origin of weights; with a rate limit it also serves as a fake weight store. Weights are
// generated from a seed, so that versions can be made equal or different.
// ================================================================

package fake

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/source"
)

// Origin is a fake origin of weights. It is safe for concurrent use.
type Origin struct {
	chunkSize int64
	limiter   *rate.Limiter
	sent      atomic.Int64

	mu       sync.RWMutex
	versions map[string][]byte
}

// originBurst is the burst size of the rate limit in bytes.
const originBurst = 64 << 10

// NewOrigin returns an origin without models that splits weights into chunks of chunkSize bytes. A
// bytesPerSecond of 0 means no limit.
func NewOrigin(chunkSize int64, bytesPerSecond float64) *Origin {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	return &Origin{chunkSize: chunkSize, limiter: rate.NewLimiter(limit, originBurst), versions: map[string][]byte{}}
}

// Publish publishes size bytes generated from a seed as a version of a model, or replaces that version.
func (o *Origin) Publish(model, version string, size int64, seed uint64) contract.Manifest {
	data := Weights(size, seed)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions[contract.ModelKey(model, version)] = data
	return contract.ManifestOf(data, o.chunkSize)
}

// Weights returns size bytes generated from a seed.
func Weights(size int64, seed uint64) []byte {
	var key [32]byte
	copy(key[:], strconv.FormatUint(seed, 10))
	data := make([]byte, size)
	_, _ = rand.NewChaCha8(key).Read(data)
	return data
}

// Sent returns the number of bytes of weights sent so far.
func (o *Origin) Sent() int64 { return o.sent.Load() }

// Handler returns the origin's HTTP interface.
func (o *Origin) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/models/{model}/versions/{version}/manifest", o.serveManifest)
	r.Get("/models/{model}/versions/{version}/weights", o.serveWeights)
	r.Post("/models/{model}/versions/{version}", o.servePut)
	r.Get("/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int64{"bytes_sent": o.Sent()})
	})
	return r
}

func (o *Origin) find(r *http.Request) ([]byte, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	data, ok := o.versions[contract.ModelKey(chi.URLParam(r, "model"), chi.URLParam(r, "version"))]
	return data, ok
}

func (o *Origin) serveManifest(w http.ResponseWriter, r *http.Request) {
	data, ok := o.find(r)
	if !ok {
		writeError(w, http.StatusNotFound, "no such version")
		return
	}
	writeJSON(w, source.NewPublishedManifest(contract.ManifestOf(data, o.chunkSize)))
}

func (o *Origin) serveWeights(w http.ResponseWriter, r *http.Request) {
	data, ok := o.find(r)
	if !ok {
		writeError(w, http.StatusNotFound, "no such version")
		return
	}
	http.ServeContent(&rateLimitedWriter{ResponseWriter: w, origin: o, ctx: r.Context()}, r, "", time.Time{}, bytes.NewReader(data))
}

// servePut publishes or replaces a version, with query parameters such as ?size=1048576&seed=7.
func (o *Origin) servePut(w http.ResponseWriter, r *http.Request) {
	size, sizeErr := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	seed, seedErr := strconv.ParseUint(r.URL.Query().Get("seed"), 10, 64)
	if sizeErr != nil || seedErr != nil || size <= 0 {
		writeError(w, http.StatusBadRequest, "size must be a whole number above 0 and seed a whole number of 0 or more")
		return
	}
	m := o.Publish(chi.URLParam(r, "model"), chi.URLParam(r, "version"), size, seed)
	_, _ = io.WriteString(w, m.Digest().String()+"\n")
}

// rateLimitedWriter writes at the origin's rate and counts the bytes.
type rateLimitedWriter struct {
	http.ResponseWriter
	origin *Origin
	ctx    context.Context
}

func (w *rateLimitedWriter) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		part := data[written:min(written+originBurst, len(data))]
		if err := w.origin.limiter.WaitN(w.ctx, len(part)); err != nil {
			return written, err
		}
		n, err := w.ResponseWriter.Write(part)
		written += n
		w.origin.sent.Add(int64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
