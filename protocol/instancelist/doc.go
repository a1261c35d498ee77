// Package instancelist implements the protocol of the platform's instance list.
package instancelist
