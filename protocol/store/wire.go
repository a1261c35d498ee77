package store

import (
	"time"

	"comfreystream/state"
)

const (
	getPath            = "/store/get"
	compareAndSwapPath = "/store/compareAndSwap"
	watchPath          = "/store/watch"
	grantPath          = "/store/grant"
	keepAlivePath      = "/store/keepAlive"
)

type emptyMessage struct{}

type getRequest struct {
	Key string `json:"key"`
}

// wireEntry is an entry of the store. In the response to a get, Version is 0 if
// the key has no value.
type wireEntry struct {
	Key     string        `json:"key"`
	Value   []byte        `json:"value,omitempty"`
	Version state.Version `json:"version"`
	// Deleted distinguishes a key without a value from one with an empty value.
	Deleted bool `json:"deleted,omitempty"`
}

type compareAndSwapRequest struct {
	Key    string           `json:"key"`
	Old    state.Version    `json:"old"`
	Value  []byte           `json:"value,omitempty"`
	Delete bool             `json:"delete,omitempty"`
	Lease  state.StoreLease `json:"lease,omitempty"`
}

// compareAndSwapResponse holds the new version, or the current one after a conflict.
type compareAndSwapResponse struct {
	Version  state.Version `json:"version"`
	Conflict bool          `json:"conflict,omitempty"`
}

type watchRequest struct {
	Prefix string        `json:"prefix"`
	After  state.Version `json:"after"`
	Wait   time.Duration `json:"wait"`
}

type watchResponse struct {
	Entries []wireEntry   `json:"entries"`
	Latest  state.Version `json:"latest"`
}

type grantRequest struct {
	TTL time.Duration `json:"ttl"`
}

type grantResponse struct {
	Lease state.StoreLease `json:"lease"`
}

type keepAliveRequest struct {
	Lease state.StoreLease `json:"lease"`
}

func toWireEntry(e state.Entry) wireEntry {
	return wireEntry{Key: e.Key, Value: e.Value, Version: e.Version, Deleted: e.Value == nil}
}

func (e wireEntry) entry() state.Entry {
	if e.Deleted {
		return state.Entry{Key: e.Key, Version: e.Version}
	}
	return state.Entry{Key: e.Key, Value: append([]byte{}, e.Value...), Version: e.Version}
}
