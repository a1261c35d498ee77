// Package caller implements the HTTP interface for callers and operators, both
// the server and the client side. Bodies are JSON; docs/HTTP.md describes them.
package caller
