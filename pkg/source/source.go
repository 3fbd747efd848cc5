// ================================================================
// Client for the sources of weights, over plain HTTP: an origin, and a rate-limited weight
// store.
//
//	GET /models/menu/versions/v7/manifest   the manifest, as JSON
//	GET /models/menu/versions/v7/weights    the bytes; Range is supported
//
// A response 429 or 503 becomes a failure with the retry time that the source names, and
// the caller sends it no request until then. Bytes are not verified here: the process that
// stores a chunk checks it against a digest from the control log.
// ================================================================

// Package source reads manifests and chunks from the origin of weights and
// from the weight store.
package source

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tidepost/tidepost/pkg/contract"
	"github.com/tidepost/tidepost/pkg/failure"
	"github.com/tidepost/tidepost/pkg/upstream"
)

const (
	// maxManifestBytes bounds the JSON of a manifest.
	maxManifestBytes = 4 << 20
	// defaultRetryAfter applies to a refusal without a Retry-After header.
	defaultRetryAfter = time.Second
)

// PublishedManifest is the JSON form of a manifest.
type PublishedManifest struct {
	Size      int64    `json:"size"`
	ChunkSize int64    `json:"chunk_size"`
	Chunks    []string `json:"chunks"`
}

// NewPublishedManifest returns the JSON form of a manifest.
func NewPublishedManifest(m contract.Manifest) PublishedManifest {
	d := PublishedManifest{Size: m.Size(), ChunkSize: m.ChunkSize()}
	for _, c := range m.Chunks() {
		d.Chunks = append(d.Chunks, c.String())
	}
	return d
}

// Manifest returns the manifest, or an error if it is invalid.
func (d PublishedManifest) Manifest() (contract.Manifest, error) {
	digests := make([]contract.Digest, 0, len(d.Chunks))
	for _, text := range d.Chunks {
		digest, err := contract.ParseDigest(text)
		if err != nil {
			return contract.Manifest{}, err
		}
		digests = append(digests, digest)
	}
	m := contract.NewManifest(d.Size, d.ChunkSize, digests)
	return m, m.Validate()
}

// Client reads from one source.
type Client struct {
	baseURL string
	http    *http.Client
}

// httpClient is shared by all clients.
var httpClient = upstream.NewClient(nil)

// NewClient returns a client of the source at a base URL.
func NewClient(baseURL string) *Client {
	return &Client{baseURL: baseURL, http: httpClient}
}

// FetchManifest fetches the manifest that a version name refers to now.
func (c *Client) FetchManifest(ctx context.Context, model, version string) (contract.Manifest, error) {
	response, err := c.get(ctx, model, version, "manifest", "")
	if err != nil {
		return contract.Manifest{}, err
	}
	defer response.Body.Close()
	var d PublishedManifest
	if err := json.NewDecoder(io.LimitReader(response.Body, maxManifestBytes)).Decode(&d); err != nil {
		return contract.Manifest{}, failure.New(failure.SourceRefused, "manifest of %s %s: %v", model, version, err)
	}
	return d.Manifest()
}

// FetchChunk fetches one chunk of a version, without verifying its digest.
func (c *Client) FetchChunk(ctx context.Context, model, version string, m contract.Manifest, index int) ([]byte, error) {
	offset, length := m.ChunkRange(index)
	byteRange := fmt.Sprintf("bytes=%d-%d", offset, offset+length-1)
	response, err := c.get(ctx, model, version, "weights", byteRange)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, length+1))
	if err != nil {
		return nil, failure.New(failure.SourceRefused, "chunk %d of %s %s: %v", index, model, version, err)
	}
	if int64(len(data)) != length {
		return nil, failure.New(failure.SourceRefused, "chunk %d of %s %s has %d bytes, not %d", index, model, version, len(data), length)
	}
	return data, nil
}

// get requests a resource of a version; byteRange is the Range header, empty for all bytes.
func (c *Client) get(ctx context.Context, model, version, resource, byteRange string) (*http.Response, error) {
	address := fmt.Sprintf("%s/models/%s/versions/%s/%s", c.baseURL, url.PathEscape(model), url.PathEscape(version), resource)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, failure.New(failure.SourceRefused, "%s: %v", address, err)
	}
	if byteRange != "" {
		request.Header.Set("Range", byteRange)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, failure.New(failure.SourceRefused, "%s: %v", address, err)
	}
	if response.StatusCode == http.StatusOK && byteRange == "" || response.StatusCode == http.StatusPartialContent {
		return response, nil
	}
	defer response.Body.Close()
	return nil, statusFailure(address, response)
}

// statusFailure returns the failure of a response without the requested content.
func statusFailure(address string, response *http.Response) error {
	f := failure.New(failure.SourceRefused, "%s answered %s", address, response.Status)
	switch response.StatusCode {
	case http.StatusNotFound:
		return failure.New(failure.UnknownObject, "%s answered %s", address, response.Status)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return f.WithRetryAfter(RetryAfter(response.Header, defaultRetryAfter))
	default:
		return f
	}
}

// RetryAfter returns the Retry-After header in seconds, or fallback if it is missing or
// invalid.
func RetryAfter(h http.Header, fallback time.Duration) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return fallback
	}
	return time.Duration(seconds) * time.Second
}
