// Package problem writes errors as HTTP responses of type problem+json.
package problem

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/hyssopladder/hyssopladder/result"
)

// Write responds with the error's status and body, and with Retry-After if the
// error has a time. A Retry-After that is already set is kept.
func Write(w http.ResponseWriter, e *result.Error) {
	if e.RetrySeconds > 0 && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", strconv.Itoa(e.RetrySeconds))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(e)
}
