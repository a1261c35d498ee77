// Package caller is the HTTP interface for callers and operators: requests
// and answers in JSON, described in docs/HTTP.md.
package caller
