// Package ledger saves in the store the accepted jobs of an availability zone whose
// callers do not wait for the outcome, and later their outcomes.
package ledger
