// Package keyvalue is what coordination asks of the platform's store:
// compare-and-swap over several keys, leases and watches, and a way round
// through another entry while the store is not reached.
package keyvalue
