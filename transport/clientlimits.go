package transport

import "time"

// ClientLimits bounds a client's connections and waits.
type ClientLimits struct {
	// ConnectionsPerPeer bounds the open connections to one address.
	ConnectionsPerPeer int
	// AnswerBytes bounds the body of an answer.
	AnswerBytes int
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection without a call is kept; it must be
	// shorter than the server's.
	IdleTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout time.Duration
	// SilenceTimeout is how long a connection may move no byte during a call;
	// servers of this package send heartbeats meanwhile. Below 0 is no limit,
	// for other servers that answer slowly.
	SilenceTimeout time.Duration
}

// DefaultClientLimits returns limits that suit calls between instances.
func DefaultClientLimits() ClientLimits {
	return ClientLimits{
		ConnectionsPerPeer: 2048,
		AnswerBytes:        16 << 20,
		DialTimeout:        time.Second,
		IdleTimeout:        4 * time.Second,
		CallTimeout:        10 * time.Second,
		SilenceTimeout:     2 * heartbeatInterval,
	}
}

func (l ClientLimits) orDefaults() ClientLimits {
	defaults := DefaultClientLimits()
	l.ConnectionsPerPeer = positive(l.ConnectionsPerPeer, defaults.ConnectionsPerPeer)
	l.AnswerBytes = positive(l.AnswerBytes, defaults.AnswerBytes)
	l.DialTimeout = positive(l.DialTimeout, defaults.DialTimeout)
	l.IdleTimeout = positive(l.IdleTimeout, defaults.IdleTimeout)
	l.CallTimeout = positive(l.CallTimeout, defaults.CallTimeout)
	if l.SilenceTimeout == 0 {
		l.SilenceTimeout = defaults.SilenceTimeout
	}
	return l
}
