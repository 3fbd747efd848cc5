package upstream

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Sound responses pass over TLS as well, whose connections a client can't look into, and with HTTP/2, where a body needs
// neither a length nor chunks.
func TestClientAcceptsTLS(t *testing.T) {
	for protocol, enableHTTP2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2.0": true} {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "begin, ")
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "end")
		}))
		server.EnableHTTP2 = enableHTTP2
		server.StartTLS()
		t.Cleanup(server.Close)
		client := NewClient(server.Client().Transport.(*http.Transport))
		for range 3 {
			response, err := client.Post(server.URL, "text/plain", bytes.NewReader(longUpload[:1<<20]))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || string(body) != "begin, end" || response.Proto != protocol {
				t.Errorf("%s: %q, %v", response.Proto, body, err)
			}
		}
	}
}
