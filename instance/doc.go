// Package instance assembles one entry. It connects the coordination packages
// to the protocol clients, and the protocol handlers to the coordination
// packages, by setting their function fields; no other package does this.
package instance
