//go:build race

package dispatch_test

import (
	"slices"
	"strings"
	"testing"
)

// randomSeeds is how many lists of faults TestRandomFaults goes through; none
// is played in real time.
const randomSeeds = 1

// inRealTime are the rows of TestGangUnderFaults that the race detector sees: a gang's whole way, and
// each kind of change of planner.
var inRealTime = []string{
	"nothing_fails", "planner_dies_before_start", "planner_dies_while_the_gang_runs",
	"planner_hands_over_before_start", "planner_hands_over_at_a_write", "planner_cut_off_after_start",
	"rack's_home_moves_before_start", "worker_silent_before_hold", "report_replies_lost", "cancelled_while_it_runs",
}

// inTime plays a row in real time, beside others: the race detector of Go 1.26.8
// crashes in its own code under synctest. .ci/test plays every row without it.
func inTime(t *testing.T, play func(t *testing.T)) {
	test, row, _ := strings.Cut(t.Name(), "/")
	row, _, _ = strings.Cut(row, ",")
	if test != "TestGangUnderFaults" || !slices.Contains(inRealTime, row) {
		t.Skip("played in virtual time without the race detector")
	}
	t.Parallel()
	play(t)
}
