// Package httpstatus tells which status codes HTTP has (RFC 9110, section 15). The parser of
// net/http takes any three digits.
package httpstatus

// Interim reports whether a response with the code is followed by another one to the same
// request.
func Interim(code int) bool { return code >= 100 && code < 200 }

// Final reports whether a response with the code can be the answer to a request.
func Final(code int) bool { return code >= 200 && code < 600 }
