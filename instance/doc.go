// Package instance wires one entry: it fills the function fields of the
// decisions with the clients of the protocols, and of the protocols' handlers
// with the decisions. Nothing else of the program does.
package instance
