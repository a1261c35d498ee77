// Package state holds the types and the sharded tables that the decisions
// work on; it calls no other package of the program.
package state
