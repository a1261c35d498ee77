//go:build !race

package dispatch_test

import (
	"testing"
	"testing/synctest"
)

// randomSeeds is the number of fault sequences that TestRandomFaults runs.
const randomSeeds = 60

// runRow runs a table row in virtual time.
func runRow(t *testing.T, play func(t *testing.T)) { synctest.Test(t, play) }
