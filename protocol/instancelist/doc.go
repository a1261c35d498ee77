// Package instancelist speaks the protocol of the platform's instance list.
package instancelist
