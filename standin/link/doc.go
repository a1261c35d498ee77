// Package link simulates network faults: Links cuts and restores the links between
// groups of addresses, and Proxy delays, drops or resets single TCP connections.
package link
