package state

import "fmt"

// Version numbers the writes of the platform's store, over all keys; a later
// write has a higher one. 0 stands for a key without a value.
type Version uint64

// WriteID names one write, so that its writer can find out whether it took effect.
type WriteID string

// StoreLease names a lease of the store; values under it go when it expires. 0 is none.
type StoreLease uint64

// Entry is the value under a key of the store.
type Entry struct {
	Key string
	// Value is nil when the key has none.
	Value   []byte
	Version Version
	// Writes names the latest writes of the key, the newest first; at most WritesKept.
	Writes []WriteID
}

// WritesKept is how many write ids an entry carries.
const WritesKept = 8

// Write asks the store to replace the value under a key if its version is still Old.
type Write struct {
	Key string
	Old Version
	// Value is nil to delete.
	Value []byte
	// Writes is the id of this write, followed by those that the entry carried.
	Writes []WriteID
	Lease  StoreLease
}

// WriteConflict says that a write lost: the key has the version Current by now.
type WriteConflict struct {
	Key     string
	Current Version
}

func (e *WriteConflict) Error() string {
	return fmt.Sprintf("%s is at version %d by now", e.Key, e.Current)
}
