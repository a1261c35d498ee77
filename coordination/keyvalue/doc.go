// Package keyvalue declares the calls that coordination makes to the platform's
// key-value store: compare-and-swap over several keys, leases and watches. It
// relays calls through another entry while this one cannot reach the store.
package keyvalue
