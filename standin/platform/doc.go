// Command platform serves a simulated platform on loopback: a configuration store,
// an instance list and workers. It allows entries to be tried as separate processes.
package main
