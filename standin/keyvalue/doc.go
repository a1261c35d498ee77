// Package keyvalue is a small stand-in for the platform's store, in memory,
// with faults.
package keyvalue
