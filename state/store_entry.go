package state

import "fmt"

// Version numbers the writes to the platform's store across all keys; a later
// write has a higher one. 0 means that the key has no value.
type Version uint64

// WriteID identifies one write, so that its writer can find out whether it
// took effect after the answer was lost.
type WriteID string

// StoreLease identifies a lease of the store; values written under it are
// deleted when it expires. 0 is no lease.
type StoreLease uint64

// Entry is a key of the store with its value.
type Entry struct {
	Key string
	// Value is nil when the key has none.
	Value   []byte
	Version Version
	// Writes holds the IDs of the key's latest writes, newest first, at most WritesKept.
	Writes []WriteID
}

// WritesKept is how many write IDs an entry keeps.
const WritesKept = 8

// Write is a compare-and-swap: it replaces the value of a key if its version is still Old.
type Write struct {
	Key string
	Old Version
	// Value is the new value, or nil to delete the key.
	Value []byte
	// Writes holds the ID of this write, followed by those that the entry had.
	Writes []WriteID
	Lease  StoreLease
}

// WriteConflict is the error of a write whose key was changed meanwhile; the
// key is now at version Current.
type WriteConflict struct {
	Key     string
	Current Version
}

func (e *WriteConflict) Error() string {
	return fmt.Sprintf("write conflict: key %s is already at version %d", e.Key, e.Current)
}
