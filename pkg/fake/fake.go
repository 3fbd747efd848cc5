// ================================================================
// Small stand-ins for what stands around the system: an engine, a plain
// service, an origin of weights, the platform's list. Tests and the demo use
// them; nothing else does.
// ================================================================

// Package fake holds small stand-ins for engines, services, the origin of
// weights and the platform.
package fake

import (
	"encoding/json"
	"net/http"
)

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, text string) {
	http.Error(w, text, status)
}
