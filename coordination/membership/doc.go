// Package membership keeps the list of live entries by probing and gossip,
// after SWIM (Das, Gupta and Motivala, DSN 2002), with a constant number of
// bytes a second for each member. It decides; it encodes nothing.
package membership
