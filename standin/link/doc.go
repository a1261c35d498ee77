// Package link simulates network faults: Links cuts and restores the links between
// groups of addresses, and Proxy delays, drops or resets the TCP connections to one
// target.
package link
