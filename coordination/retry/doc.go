// Package retry decides whether and when a job is tried again after a failed
// attempt.
package retry
