// Package problem writes errors as problem+json.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/hyssopladder/hyssopladder/result"
)

// Write answers with the error's status, its body, and Retry-After if a time is
// known. A Retry-After that is set already stays.
func Write(w http.ResponseWriter, e *result.Error) {
	if e.RetrySeconds > 0 && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", strconv.Itoa(e.RetrySeconds))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e)
}
