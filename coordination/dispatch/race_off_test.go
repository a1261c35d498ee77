//go:build !race

package dispatch_test

// randomSeeds is how many lists of faults TestRandomFaults goes through.
const randomSeeds = 60
