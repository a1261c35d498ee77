// Package instancelist simulates the platform's instance list, whose replies lag
// behind the actual state.
package instancelist
