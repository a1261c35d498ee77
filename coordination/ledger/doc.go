// Package ledger keeps the accepted jobs of a zone whose callers do not wait,
// and their outcomes, in the store.
package ledger
