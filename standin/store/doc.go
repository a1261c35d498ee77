// Package store simulates the platform's configuration store in memory, with the
// faults that the real store is known to have.
package store
