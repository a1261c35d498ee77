// Package instancelist is a small stand-in for the platform's instance list,
// which answers with what was so some time ago.
package instancelist
