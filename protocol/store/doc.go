// Package store implements the protocol of the configuration store and wraps
// values in an envelope with the IDs of the latest writes of the key.
package store
