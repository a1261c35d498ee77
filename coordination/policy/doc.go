// Package policy keeps an instance's view of the operator's configuration:
// never going back, and confirmed before anybody is turned away because of it.
package policy
