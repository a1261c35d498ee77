// Package storage calls the platform's store. It counts the calls by purpose, limits
// their rate, stops them by a circuit breaker after repeated failures, and finds
// out by its write ID whether a write whose response was lost took effect.
package storage
