// Package membership keeps the list of live entries by probing and gossip, as
// in SWIM (Das, Gupta and Motivala, DSN 2002). The number of bytes per second and
// member stays constant as members are added. The package does not encode messages.
package membership
