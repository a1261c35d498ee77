// Package store is a small in-memory stand-in for the platform's configuration
// store, with switches for the faults that the store is known to have.
package store
