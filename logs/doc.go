// Package logs provides a zerolog logger that writes each event as one line of
// key=value pairs.
package logs
