// Package rollout puts an accepted manifest in force on every reachable entry
// within seconds; an entry moves to higher generations only.
package rollout
