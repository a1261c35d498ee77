package scheduling

import "time"

// worklist holds what a planning round has to look at. Groups that run without
// incident cost a round nothing, apart from the check for stalls. The pool's lock
// guards it.
type worklist struct {
	// unstarted holds the groups that wait to be placed, for their attempt to be
	// saved, or for preempted attempts to end.
	unstarted map[*group]struct{}
	// started holds the groups whose start orders were sent.
	started map[*group]struct{}
	// stops holds the members to stop.
	stops map[*member]struct{}
	// timed holds the unfinished jobs with start times, whose next occurrences may
	// become due.
	timed map[*job]struct{}
	// urgent holds the unfinished jobs of priority 0, to which guarantees apply.
	urgent map[*job]struct{}
	// stallsCheckedAt is the time of the last check for stalled tasks.
	stallsCheckedAt time.Time
}

func newWorklist() worklist {
	return worklist{
		unstarted: make(map[*group]struct{}), started: make(map[*group]struct{}),
		stops: make(map[*member]struct{}), timed: make(map[*job]struct{}), urgent: make(map[*job]struct{}),
	}
}

// addJob lists a job that has not ended.
func (l *worklist) addJob(j *job) {
	if j.Occurrences > 0 {
		l.timed[j] = struct{}{}
	}
	if j.Priority == 0 {
		l.urgent[j] = struct{}{}
	}
}

func (l *worklist) removeJob(j *job) {
	delete(l.timed, j)
	delete(l.urgent, j)
}

func (l *worklist) addUnstarted(g *group) {
	delete(l.started, g)
	l.unstarted[g] = struct{}{}
}

func (l *worklist) addStarted(g *group) {
	delete(l.unstarted, g)
	l.started[g] = struct{}{}
}

func (l *worklist) remove(g *group) {
	delete(l.unstarted, g)
	delete(l.started, g)
}

func (l *worklist) addStop(m *member) {
	m.stopWanted = true
	l.stops[m] = struct{}{}
}
