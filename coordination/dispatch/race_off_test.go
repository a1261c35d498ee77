//go:build !race

package dispatch_test

import (
	"testing"
	"testing/synctest"
)

// randomSeeds is how many lists of faults TestRandomFaults goes through.
const randomSeeds = 60

// inTime plays a row in virtual time.
func inTime(t *testing.T, play func(t *testing.T)) { synctest.Test(t, play) }
