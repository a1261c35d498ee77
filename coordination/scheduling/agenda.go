package scheduling

import "time"

// agenda holds what a round has to look at, so that what merely runs costs it
// nothing; the pool's lock guards it.
type agenda struct {
	// undecided groups wait for an attempt, or for the record or the room of one.
	undecided map[*group]struct{}
	// atWork groups have ordered their members to start.
	atWork map[*group]struct{}
	// stops are the members that are to be stopped.
	stops map[*member]struct{}
	// timed jobs have occurrences still to come.
	timed map[*job]struct{}
	// stallsSought is when standing tasks were last looked for.
	stallsSought time.Time
}

func newAgenda() agenda {
	return agenda{
		undecided: make(map[*group]struct{}), atWork: make(map[*group]struct{}),
		stops: make(map[*member]struct{}), timed: make(map[*job]struct{}),
	}
}

func (a *agenda) decide(g *group) {
	delete(a.atWork, g)
	a.undecided[g] = struct{}{}
}

func (a *agenda) watch(g *group) {
	delete(a.undecided, g)
	a.atWork[g] = struct{}{}
}

func (a *agenda) drop(g *group) {
	delete(a.undecided, g)
	delete(a.atWork, g)
}

func (a *agenda) stop(m *member) {
	m.stopWanted = true
	a.stops[m] = struct{}{}
}
