// Package clock gives time as a duration since the process began, on a clock
// that steps of the time of day can't move and that goes on while the instance
// is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// Instant is time since an arbitrary origin of this process.
type Instant = time.Duration

// Clock returns the current instant.
type Clock func() Instant

// System returns a clock that counts from now on the kernel's boot clock, which
// counts suspended time too, so that leases end on time after it.
func System() Clock {
	origin, ok := bootTime()
	if !ok {
		klog.ErrorS(nil, "the kernel has no boot clock; leases may outlast a suspended instance")
		start := time.Now()
		return func() Instant { return time.Since(start) }
	}
	return func() Instant {
		now, _ := bootTime()
		return now - origin
	}
}

func bootTime() (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
