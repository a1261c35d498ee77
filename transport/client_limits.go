package transport

import "time"

// ClientLimits bounds a client's connections, response sizes and waits.
type ClientLimits struct {
	// ConnectionsPerPeer bounds the open connections to one peer.
	ConnectionsPerPeer int
	// ResponseBytes bounds the body of a response.
	ResponseBytes int
	// TotalResponseBytes bounds the bodies of the large responses that are read at the
	// same time. A call beyond it fails.
	TotalResponseBytes int
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection without a call is kept. It must be
	// shorter than the server's IdleTimeout, or the server could close a
	// connection just as the client reuses it.
	IdleTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout time.Duration
	// SilenceTimeout is how long a call waits for its connection to transfer
	// another byte; servers of this package send heartbeats during long
	// requests. A negative value disables the limit and the heartbeats, for
	// other servers that respond slowly.
	SilenceTimeout time.Duration
}

// DefaultClientLimits returns limits suitable for calls between instances.
func DefaultClientLimits() ClientLimits {
	return ClientLimits{
		ConnectionsPerPeer: 2048,
		ResponseBytes:      16 << 20,
		TotalResponseBytes: 64 << 20,
		DialTimeout:        time.Second,
		IdleTimeout:        4 * time.Second,
		CallTimeout:        10 * time.Second,
		SilenceTimeout:     2 * heartbeatInterval,
	}
}

func (l ClientLimits) orDefaults() ClientLimits {
	defaults := DefaultClientLimits()
	l.ConnectionsPerPeer = positiveOr(l.ConnectionsPerPeer, defaults.ConnectionsPerPeer)
	l.ResponseBytes = positiveOr(l.ResponseBytes, defaults.ResponseBytes)
	l.TotalResponseBytes = positiveOr(l.TotalResponseBytes, defaults.TotalResponseBytes)
	l.DialTimeout = positiveOr(l.DialTimeout, defaults.DialTimeout)
	l.IdleTimeout = positiveOr(l.IdleTimeout, defaults.IdleTimeout)
	l.CallTimeout = positiveOr(l.CallTimeout, defaults.CallTimeout)
	if l.SilenceTimeout == 0 {
		l.SilenceTimeout = defaults.SilenceTimeout
	}
	return l
}
