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

type nothing struct{}

type getRequest struct {
	Key string `json:"key"`
}

// wireEntry has version 0 when the key has no value.
type wireEntry struct {
	Key     string        `json:"key"`
	Value   []byte        `json:"value,omitempty"`
	Version state.Version `json:"version"`
	// Deleted tells a deleted key from one with an empty value.
	Deleted bool `json:"deleted,omitempty"`
}

type compareAndSwapRequest struct {
	Key    string           `json:"key"`
	Old    state.Version    `json:"old"`
	Value  []byte           `json:"value,omitempty"`
	Delete bool             `json:"delete,omitempty"`
	Lease  state.StoreLease `json:"lease,omitempty"`
}

// compareAndSwapReply gives the new version, or the present one after a conflict.
type compareAndSwapReply struct {
	Version  state.Version `json:"version"`
	Conflict bool          `json:"conflict,omitempty"`
}

type watchRequest struct {
	Prefix string        `json:"prefix"`
	After  state.Version `json:"after"`
	Wait   time.Duration `json:"wait"`
}

type watchReply struct {
	Entries []wireEntry   `json:"entries"`
	Latest  state.Version `json:"latest"`
}

type grantRequest struct {
	TTL time.Duration `json:"ttl"`
}

type grantReply struct {
	Lease state.StoreLease `json:"lease"`
}

type keepAliveRequest struct {
	Lease state.StoreLease `json:"lease"`
}

func toWire(e state.Entry) wireEntry {
	return wireEntry{Key: e.Key, Value: e.Value, Version: e.Version, Deleted: e.Value == nil}
}

func (e wireEntry) entry() state.Entry {
	if e.Deleted {
		return state.Entry{Key: e.Key, Version: e.Version}
	}
	return state.Entry{Key: e.Key, Value: append([]byte{}, e.Value...), Version: e.Version}
}
