// Command standin-3 plays the scripted cases of the third review: it serves a small
// platform (store, workers, operator and callers) on loopback addresses, runs the
// project's entries as processes of their own, and checks one rule.
package main
