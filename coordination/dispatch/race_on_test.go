//go:build race

package dispatch_test

import (
	"slices"
	"strings"
	"testing"
)

// randomSeeds is the number of fault sequences of TestRandomFaults; runRow skips
// them under the race detector.
const randomSeeds = 1

// realTimeRows are the rows of TestGangUnderFaults that run under the race
// detector: a gang without a fault, and each kind of planner change.
var realTimeRows = []string{
	"nothing_fails", "planner_dies_before_start", "planner_dies_while_the_gang_runs",
	"planner_hands_over_before_start", "planner_hands_over_at_a_write", "planner_cut_off_after_start",
	"rack's_home_moves_before_start", "worker_silent_before_hold", "report_replies_lost", "cancelled_while_it_runs",
}

// runRow runs a row in real time, in parallel with others: the race detector of
// Go 1.26.8 crashes under synctest. .ci/test runs every row without it.
func runRow(t *testing.T, play func(t *testing.T)) {
	test, row, _ := strings.Cut(t.Name(), "/")
	row, _, _ = strings.Cut(row, ",")
	if test != "TestGangUnderFaults" || !slices.Contains(realTimeRows, row) {
		t.Skip("played in virtual time without the race detector")
	}
	t.Parallel()
	play(t)
}
