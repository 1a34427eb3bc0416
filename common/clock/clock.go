// Package clock gives monotonic time as a duration since the process began,
// so that steps of the wall clock can't move a lease.
package clock

import "time"

// Instant is monotonic time since an arbitrary origin of this process.
type Instant = time.Duration

// Clock returns the current instant.
type Clock func() Instant

// System returns a clock that counts from now on the monotonic clock.
func System() Clock {
	origin := time.Now()
	return func() Instant { return time.Since(origin) }
}
