// Package admission decides which jobs may join a zone's queue, before any is
// planned, so that the queue stays short enough for those that matter most.
package admission
