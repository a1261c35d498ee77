// Package quarantine keeps work off workers that fail everything they start,
// and tells them from jobs that fail on every worker.
package quarantine
