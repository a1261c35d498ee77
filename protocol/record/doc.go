// Package record encodes the records of jobs, outcomes and claims that workers
// and the store keep, so that an entry instance that starts later can read them.
package record
