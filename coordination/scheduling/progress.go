package scheduling

import "time"

const (
	// minProgress is the difference of two percentages from which a rate is taken. The
	// rounding to whole percentages makes smaller ones too uncertain.
	minProgress = 3
	// shortestRunTime is the fraction of the declared run time that a task surely takes.
	// The fast workers of a deployment take 0.7 of a typical run time, and the run times
	// of one step spread by a third.
	shortestRunTime = 0.5
)

// progress is what the reports of one attempt of a task tell about its end.
type progress struct {
	// startedAt is when the worker answered that it started the attempt; zero for one
	// that an earlier planner started.
	startedAt time.Time
	// first is the first percentage above 0, reported at firstAt, last the newest.
	first, last     int
	firstAt, lastAt time.Time
}

// observe notes a reported percentage.
func (r *progress) observe(percent int, now time.Time) {
	if percent <= 0 {
		return
	}
	if r.first == 0 || percent < r.last {
		r.first, r.firstAt = percent, now
	}
	r.last, r.lastAt = percent, now
}

// perPercent returns the most that a percent of the work has taken on average until the last
// one was gained. It is not known before two were, as the first one may have begun earlier.
func (r *progress) perPercent(lastGained time.Time) (duration time.Duration, known bool) {
	gained := r.last - r.first
	if r.first == 0 || gained < 2 {
		return 0, false
	}
	return lastGained.Sub(r.firstAt) / time.Duration(gained-1), true
}

// endTimes returns when the attempt can end at the earliest, and when it will probably
// end. The percentages grow evenly and are rounded down. Without two that differ by
// minProgress, the declared run time counts, and the time since the start, which may
// include a wait for the rest of a gang. placedAt is a time before the start.
func (r *progress) endTimes(placedAt time.Time, declared time.Duration) (least, likely time.Time) {
	if r.first == 0 {
		began := latest(placedAt, r.startedAt)
		return began.Add(scale(declared, shortestRunTime)), began.Add(declared)
	}
	left := float64(100 - r.last)
	if gained := float64(r.last - r.first); gained >= minProgress {
		elapsed := r.lastAt.Sub(r.firstAt)
		return r.lastAt.Add(scale(elapsed, (left-1)/(gained+1))), r.lastAt.Add(scale(elapsed, (left-0.5)/gained))
	}
	least = r.lastAt.Add(scale(declared, shortestRunTime*(left-1)/100))
	likely = r.lastAt.Add(scale(declared, (left-0.5)/100))
	if r.startedAt.IsZero() {
		return least, likely
	}
	elapsed := r.lastAt.Sub(r.startedAt)
	if byStart := r.lastAt.Add(scale(elapsed, (left-1)/float64(r.last+1))); byStart.Before(least) {
		least = byStart
	}
	return least, r.lastAt.Add(scale(elapsed, (left-0.5)/(float64(r.last)+0.5)))
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
