// Package keyvalue simulates the platform's key-value store, in memory and with
// injected faults.
package keyvalue
