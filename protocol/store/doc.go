// Package store speaks the configuration store's protocol and wraps its values
// in an envelope that carries the ids of the latest writes.
package store
