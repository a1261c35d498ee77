// Package policy keeps an instance's copy of the operator's configuration. Its
// version never decreases, and it can be read again before a request is refused
// because of it.
package policy
