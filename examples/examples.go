// Package examples holds the service documents that the demo and the tests use.
package examples

import _ "embed"

// Assistant is the document of a model service.
//
//go:embed assistant.ini
var Assistant []byte

// Booking is the document of a plain service.
//
//go:embed booking.ini
var Booking []byte
