// Package seat elects the planner: whoever creates a key in the platform's
// store under a lease plans until the lease is not sure to hold any more.
package seat
