// Package clock measures time in two ways. A Clock is monotonic: steps of the
// wall clock don't change it, and it counts the time during which the instance
// is suspended. A Wall estimates the time of day of this or another instance.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// Instant is a time on a Clock, since an arbitrary origin in this process.
type Instant = time.Duration

// Clock returns the current instant.
type Clock func() Instant

// System returns a clock that counts from now on. It uses the kernel's boot
// clock, which includes suspended time, so that leases expire on time after an
// instance has been suspended.
func System() Clock {
	origin, ok := bootTime()
	if !ok {
		klog.ErrorS(nil, "the kernel has no boot clock; using a clock that stops while the instance is suspended, so that leases may expire late")
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
