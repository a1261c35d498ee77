package transport

import (
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

const clientShards = 16

// clientShard holds the pools of some of a client's peers.
type clientShard struct {
	mu     sync.Mutex
	closed bool
	peers  map[netip.AddrPort]*peerPool
}

// pool returns the peer's pool, counted as in use.
func (s *clientShard) pool(c *Client, peer netip.AddrPort) (*peerPool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errors.New("the client is closed")
	}
	pool, found := s.peers[peer]
	if !found {
		s.forgetUnused()
		pool = newPeerPool(c, peer)
		s.peers[peer] = pool
	}
	c.calls.Add(1)
	pool.users.Add(1)
	return pool, nil
}

// forgetUnused drops the peers without a call or a connection, so that
// replaced instances leave nothing behind; it runs under the lock.
func (s *clientShard) forgetUnused() {
	for peer, pool := range s.peers {
		if pool.users.Load() == 0 && pool.empty() {
			delete(s.peers, peer)
		}
	}
}

func (s *clientShard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, pool := range s.peers {
		pool.close()
	}
}
