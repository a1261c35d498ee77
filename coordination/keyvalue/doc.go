// Package keyvalue is what coordination asks of the platform's store:
// compare-and-swap over several keys, leases and watches.
package keyvalue
