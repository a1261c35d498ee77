// Package pause waits for a duration that a context can end early; it serves
// mostly between the tries of a call that failed.
package pause
