// Command platform serves the stand-ins of the platform on loopback, so that
// entries can be tried as processes of their own: a configuration store, an
// instance list and workers.
package main
