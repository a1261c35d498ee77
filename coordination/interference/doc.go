// Package interference estimates which kinds of work slow each other down on one worker,
// from tasks whose pace changes with their neighbours and from gang members beside
// different neighbours.
package interference
