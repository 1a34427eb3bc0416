package control

import "time"

// How often entries call, by their number: what one keeper has to answer in a
// second must not grow with it.
const (
	// minReportInterval is the time between two reports of an entry to a leader
	// with few entries, maxReportInterval that with many: two reports have to
	// arrive within a lease of quota.
	minReportInterval = 300 * time.Millisecond
	maxReportInterval = 900 * time.Millisecond
	// reportCost is the time of the leader that is set aside for a report.
	reportCost = 2 * time.Millisecond
	// minHoldTime is how long a sync request is held while there is nothing new
	// to answer, if few are held at once, maxHoldTime if many are: an entry waits
	// a second for the answer.
	minHoldTime = 300 * time.Millisecond
	maxHoldTime = 600 * time.Millisecond
	holdCost    = 4 * time.Millisecond
	// minWakeDelay and maxWakeDelay are how long a change waits for further ones
	// before the held sync requests are answered: the upstreams of a reclaimed
	// zone leave within a few hundredths of a second, and each wake-up reaches
	// every entry.
	minWakeDelay = 20 * time.Millisecond
	maxWakeDelay = 250 * time.Millisecond
	wakeCost     = time.Millisecond
)

// reportInterval is the time between two reports of each of the entries.
func reportInterval(entries int) time.Duration {
	return min(max(time.Duration(entries)*reportCost, minReportInterval), maxReportInterval)
}

// holdTime is how long each of the held sync requests may be held.
func holdTime(held int) time.Duration {
	return min(max(time.Duration(held)*holdCost, minHoldTime), maxHoldTime)
}

// wakeDelay is how long a change waits before the held sync requests are
// answered.
func wakeDelay(held int) time.Duration {
	return min(max(time.Duration(held)*wakeCost, minWakeDelay), maxWakeDelay)
}
