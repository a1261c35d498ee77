package transport

import (
	"sync/atomic"
	"time"
)

// holdings is what a connection holds of its server's budget. The fields are
// changed on the connection's event loop and read by others.
type holdings struct {
	// reclaimable counts the bytes that cutShort releases: of a request that has
	// not arrived whole, of requests that wait for their turn, and of a response
	// that the client does not take.
	reclaimable atomic.Int64
	// heldSince is when reclaimable was last 0, idleSince when the connection was
	// opened or last had a request, in nanoseconds since 1970.
	heldSince, idleSince atomic.Int64
	// served is set once a request has arrived whole, evicted once the connection
	// is to be closed for the sake of others.
	served, evicted atomic.Bool
	// partialBytes, queuedBytes and unsentBytes add up to reclaimable.
	partialBytes, queuedBytes, unsentBytes int64
}

// updateReclaimable publishes the sum of the reclaimable bytes.
func (c *connection) updateReclaimable() {
	bytes := c.partialBytes + c.queuedBytes + c.unsentBytes
	before := c.reclaimable.Load()
	if before == bytes {
		return
	}
	if before == 0 {
		c.heldSince.Store(time.Now().UnixNano())
	}
	c.reclaimable.Store(bytes)
}

// chargePartial counts what is held of a request that has not arrived whole; it
// reports false if the budget does not have it.
func (c *connection) chargePartial() (within bool) {
	bytes := c.reader.heldBytes(c.conn.InboundBuffered())
	change := bytes - c.partialBytes
	if change == 0 {
		return true
	}
	c.partialBytes = bytes
	c.updateReclaimable()
	return c.server.limits.Budget.add(change) || change < 0
}

// releasePartial drops the request that has not arrived whole and all input.
func (c *connection) releasePartial() {
	if x := c.reader.current; x != nil {
		c.reader.current, c.reader.chunkedBody = nil, nil
		x.release()
	}
	c.reader.scannedBytes = 0
	c.uncountPartial()
}

// uncountPartial is called when nothing is held of a request that has not arrived whole.
func (c *connection) uncountPartial() {
	if c.partialBytes > 0 {
		c.server.limits.Budget.add(-c.partialBytes)
		c.partialBytes = 0
		c.updateReclaimable()
	}
}

// charge counts a request that has arrived whole; it reports false if the budget
// does not have it.
func (c *connection) charge(x *exchange) (within bool) {
	x.cost = requestCost + int64(cap(x.body))
	if len(c.pending) > 0 {
		c.queuedBytes += x.cost
		c.updateReclaimable()
	}
	return c.server.limits.Budget.add(x.cost)
}

// uncharge is called once the exchange holds nothing more.
func (x *exchange) uncharge(s *Server) {
	if x.cost != 0 {
		s.limits.Budget.add(-x.cost)
		x.cost = 0
	}
}

// unqueue takes a request out of the count of those that wait for their turn.
func (c *connection) unqueue(x *exchange) {
	if c.queuedBytes > 0 {
		c.queuedBytes -= min(x.cost, c.queuedBytes)
		c.updateReclaimable()
	}
}

// cutShort releases what the connection holds beyond the request in service. Each
// request that is dropped is refused, before any handler has seen it. A connection that has
// released everything since it was chosen is kept: its client awaits no response.
func (c *connection) cutShort() {
	if c.closed {
		return
	}
	if c.reclaimable.Load() == 0 {
		c.evicted.Store(false)
		return
	}
	if c.unsentBytes > 0 {
		c.server.limits.Count(OverBudget)
		c.close()
		return
	}
	for n := 1; n < len(c.pending); n++ {
		x := c.pending[n]
		if !x.refused {
			x.refuse(&c.server.limits, OverBudget)
			x.closesConnection = false
			x.dropBody()
			x.uncharge(c.server)
		}
	}
	c.queuedBytes = 0
	if c.discardsInput {
		c.updateReclaimable()
		return
	}
	if c.partialBytes > 0 || len(c.pending) < 2 {
		c.refuse(OverBudget)
	} else { // the last of the dropped requests ends the connection
		c.discardsInput, c.lingersOnClose = true, true
		c.pending[len(c.pending)-1].closesConnection = true
		c.updateReclaimable()
	}
	_, _ = c.conn.Discard(-1)
	c.updateDeadline()
}

// displace closes the connection to make room for a new one, unless a request has
// arrived whole meanwhile.
func (c *connection) displace() {
	c.server.displacing.Add(-1)
	if c.closed {
		return
	}
	if c.pendingCount.Load() > 0 {
		c.evicted.Store(false)
		return
	}
	c.server.limits.Count(ConnectionDisplaced)
	c.close()
}
