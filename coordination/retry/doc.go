// Package retry decides whether and when a failed attempt of a job is repeated.
package retry
