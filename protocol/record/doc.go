// Package record encodes jobs and outcomes for keeping at the workers and in
// the store, where a later instance of the program finds them again.
package record
