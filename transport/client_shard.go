package transport

import (
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

const clientShards = 16

// clientShard holds the connection pools of the peers that hash to it.
type clientShard struct {
	mu     sync.Mutex
	closed bool
	pools  map[netip.AddrPort]*peerPool
}

// acquirePool returns the peer's pool and counts one more call on it and on
// the client; the caller undoes both counts.
func (s *clientShard) acquirePool(c *Client, peer netip.AddrPort) (*peerPool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errors.New("client is closed")
	}
	pool, found := s.pools[peer]
	if !found {
		s.removeUnusedPools()
		pool = newPeerPool(c, peer)
		s.pools[peer] = pool
	}
	c.activeCalls.Add(1)
	pool.activeCalls.Add(1)
	return pool, nil
}

// removeUnusedPools removes the pools without calls or connections, so that
// pools of replaced instances do not pile up. The caller must hold the lock.
func (s *clientShard) removeUnusedPools() {
	for peer, pool := range s.pools {
		if pool.activeCalls.Load() == 0 && pool.isEmpty() {
			delete(s.pools, peer)
		}
	}
}

func (s *clientShard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, pool := range s.pools {
		pool.close()
	}
}
