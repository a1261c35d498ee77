// Package pause waits between two tries of something that failed.
package pause
