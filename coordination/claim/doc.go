// Package claim keeps create-only records of non-idempotent requests in the
// store, so that each runs at most once whichever entries get it.
package claim
