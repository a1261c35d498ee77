// Package election elects the planner: the candidate that creates a key in the
// platform's store under a lease plans for as long as it can be certain that
// the lease has not expired.
package election
