// Package storage calls the platform's store with discipline: every call is
// counted by purpose and kept within a budget, failures open a breaker, and a
// write whose answer was lost is read back by its write id.
package storage
