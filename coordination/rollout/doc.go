// Package rollout brings an accepted manifest into force on every reachable entry
// within seconds. The generation in force on an entry never decreases.
package rollout
