// Package link is a small stand-in for the network between groups of
// addresses: links that can be cut, go silent and be healed.
package link
