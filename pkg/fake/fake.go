// ================================================================
// Small fakes of the systems around tidepost. Only tests and the demo use them.
// ================================================================

// Package fake provides fakes of a model engine, a plain service, the origin of weights and the
// platform's list of VMs.
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
