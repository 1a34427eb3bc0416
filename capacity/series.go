package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopladder/hyssopladder/common/clock"
)

const (
	// windowTime is the length of a window, if it has windowWeight answers by then; else it
	// takes maxWindowTime at most. A change counts once agreeing windows agree: 1.6 s at most
	// after it. A spell of 0.6 s, which the times of the reports stretch to 0.9 s, covers more
	// than half of two windows at most.
	windowTime    = 400 * time.Millisecond
	windowWeight  = 2
	maxWindowTime = 1600 * time.Millisecond
	agreeing      = 3
	// maxWindows is the number of windows that make the pace: about ten seconds, so that
	// its error is a few percent with three answers in a window.
	maxWindows = 24
	// middlePart is the part of the windows below the measure of the upstream: less than half, as
	// a window in which most answers were queued is slow.
	middlePart = 0.3
	// minShift is the least difference, as a logarithm, that counts as a change, and shiftErrors
	// the same in standard deviations of a window.
	minShift    = 0.22
	shiftErrors = 2
	// minDeviation is the least standard deviation of a window, and firstDeviation that of a
	// series that is too short to tell.
	minDeviation   = 0.03
	firstDeviation = 0.2
	// maxItems bounds the samples of one window, and maxItemWeight the weight of one, so that no
	// entry outvotes all others in a window.
	maxItems      = 64
	maxItemWeight = 4
)

// lowPart is the part of the answers of a window that are faster than what counts. What isn't
// known of an upstream's work, such as requests of other entries since their last reports, makes
// answers slower and not faster: fast answers tell of the upstream, slow ones of its load too. In
// the emulation of 65 entries and 60 even engines at 0.47 of their capacity, the median took 22
// engines for uneven, and this part none.
const lowPart = 0.12

// item is one sample of the current window.
type item struct {
	load        int
	weight, log float64
}

// series is an upstream's measurements over time: the fast answers of each window since the last
// lasting change. Quantiles keep out spells, single entries and single answers that are off.
type series struct {
	openedAt clock.Instant
	items    []item
	weight   float64
	// latest is the measure of the window that was closed at closedAt.
	latest   float64
	closedAt clock.Instant
	windows  []float64
	// worked is the expected work of the answers since workedAt; work and span are that work and
	// the time that it took, of the latest windows.
	worked     time.Duration
	workedAt   clock.Instant
	work, span float64
	// middle is the measure of the upstream, from the windows, middleError its standard error, and deviation the
	// standard deviation of a window.
	middle, middleError, deviation float64
}

func (s *series) add(load int, weight, log float64) {
	if len(s.items) >= maxItems {
		return
	}
	weight = min(weight, maxItemWeight)
	s.items = append(s.items, item{load, weight, log})
	s.weight += weight
}

// known reports whether there are enough windows for a pace.
func (s *series) known() bool { return len(s.windows) >= agreeing }

// close ends the window if it is due, and reports whether that has shown a lasting change.
// Answers above the knee, or while the service is overloaded, tell of the load and not of the
// upstream.
func (s *series) close(now clock.Instant, knee int, overloaded bool) (changed bool) {
	if age := now - s.openedAt; age < windowTime || s.weight < windowWeight && age < maxWindowTime {
		return false
	}
	s.openedAt = now
	if len(s.items) == 0 {
		return false
	}
	if knee > 0 && slices.ContainsFunc(s.items, func(i item) bool { return i.load <= knee }) {
		s.items = slices.DeleteFunc(s.items, func(i item) bool { return i.load > knee })
	}
	s.latest, s.closedAt = min(quantile(s.items, lowPart), s.bound(now)), now
	s.items, s.weight = s.items[:0], 0
	if overloaded {
		return false
	}
	s.windows = append(s.windows, s.latest)
	if changed = s.shifted(); changed {
		s.windows = append(s.windows[:0], s.windows[len(s.windows)-agreeing:]...)
	} else if len(s.windows) > maxWindows {
		s.windows = append(s.windows[:0], s.windows[1:]...)
	}
	s.measure()
	return changed
}

// bound returns the highest logarithm that the work of the latest windows allows: an upstream that
// has done so much can't be slower, however long its answers were queued.
func (s *series) bound(now clock.Instant) float64 {
	// kept is the part of the earlier windows that counts on: reports blur the times of single
	// windows.
	const kept = 0.6
	if s.workedAt != 0 {
		s.work, s.span = kept*s.work+s.worked.Seconds(), kept*s.span+(now-s.workedAt).Seconds()
	}
	s.worked, s.workedAt = 0, now
	if s.work <= 0 {
		return math.Inf(1)
	}
	return math.Log(s.span / s.work)
}

// throughput returns the work that the upstream did in a unit of time, as the model expects it.
func (s *series) throughput() float64 {
	if s.span <= 0 {
		return 0
	}
	return s.work / s.span
}

// shifted reports whether the last windows all differ from those before, to the same side.
func (s *series) shifted() bool {
	before := len(s.windows) - agreeing
	if before < agreeing {
		return false
	}
	middle := medianOf(slices.Clone(s.windows[:before]))
	shift := max(minShift, shiftErrors*s.deviation)
	higher, lower := true, true
	for _, w := range s.windows[before:] {
		higher = higher && w-middle > shift
		lower = lower && middle-w > shift
	}
	return higher || lower
}

// measure sets the middle and its error from the windows.
func (s *series) measure() {
	sorted := slices.Clone(s.windows)
	slices.Sort(sorted)
	s.middle = sorted[int(math.Round(middlePart*float64(len(sorted)-1)))]
	if s.deviation == 0 {
		s.deviation = firstDeviation
	}
	// Right after a change the deviation of before stands.
	const minWindows = 6
	if n := len(sorted); n >= minWindows {
		for i, w := range sorted {
			sorted[i] = math.Abs(w - s.middle)
		}
		// The factor makes the median deviation that of a normal distribution.
		s.deviation = max(1.4826*medianOf(sorted), minDeviation)
	}
	// The error of this quantile, of a normal distribution, is that of a mean times 1.32.
	s.middleError = 1.32 * s.deviation / math.Sqrt(float64(len(s.windows)))
}

// quantile returns the logarithm below which that part of the weight lies. It sorts the items.
func quantile(items []item, part float64) float64 {
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.log, b.log) })
	wanted, sum := part*weightOf(items), 0.0
	for _, i := range items {
		if sum += i.weight; sum >= wanted {
			return i.log
		}
	}
	return items[len(items)-1].log
}

func weightOf(items []item) float64 {
	sum := 0.0
	for _, i := range items {
		sum += i.weight
	}
	return sum
}
