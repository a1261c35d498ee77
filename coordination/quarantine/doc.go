// Package quarantine takes workers that fail different jobs out of use, and
// distinguishes them from jobs that fail on every worker.
package quarantine
