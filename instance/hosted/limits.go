package hosted

import (
	"time"

	"comfreystream/platform"
	"comfreystream/transport"
)

// The parts of an instance's memory and descriptors that clients may use. A deployment's
// smallest instance has 144 MB and 3,075 descriptors: its callers may hold 24 MB, which is
// 90 bodies of 262,144 bytes at once, and 1,402 connections.
const (
	// budgetShare is the part of the memory that clients may make the process hold: 1/6.
	// The garbage collector needs up to as much again, the planner uses the rest.
	budgetShare = 6
	// entryBudgetShare is the part that other entries may: 1/12. It is apart, so that a
	// crowd of callers does not have the calls of entries refused.
	entryBudgetShare = 12
	// connectionMemory is the memory for each connection to be open: it and its buffers
	// in the kernel.
	connectionMemory = 48 << 10
	// socketBytes bounds each of the kernel's two buffers of a connection; the kernel
	// doubles it. It holds a request with the largest headers.
	socketBytes = 16 << 10
	// fileDescriptors is how many descriptors are kept for files and for the runtime.
	fileDescriptors = 200
	// entriesShare is the part of the descriptors for connections from other entries:
	// 1/8. outgoingShare is the part for calls to the store, entries and workers: 1/3,
	// of which the store may use half.
	entriesShare, outgoingShare = 8, 3
	// responsesShare is the part of the memory for the responses that the store, and the
	// workers together, may be sending at the same time: 1/8 each, and at least
	// minResponseBytes, which a page of the store's largest values needs.
	responsesShare   = 8
	minResponseBytes = 8 << 20
	// workerConnections is how many connections a worker accepts.
	workerConnections = 64
	// minConnections is the least number of connections of a port.
	minConnections = 32
	// readinessConnections bounds the connections of the platform's readiness checks.
	readinessConnections = 64
	// defaultBodyBytes bounds a body while the operator's limit is not known.
	defaultBodyBytes = 1 << 20
	// entryBodyBytes bounds a body from another entry, the largest of which is a change
	// of the store that it relays: 32 values of the largest size that is in use.
	entryBodyBytes = 4 << 20
)

// serverLimits returns the limits of the ports for callers, readiness and entries.
func (i *Instance) serverLimits(s *platform.Settings) (callers, readiness, entries transport.Limits) {
	common := transport.Limits{
		Count: i.countRefusal, OnPanic: i.logPanic, WriteRefusal: platform.WriteRefusal, SocketBytes: socketBytes,
		Budget: i.budget,
	}
	defaults := transport.DefaultLimits()
	callers, readiness, entries = common, common, common
	entries.Budget = newBudget(s, entryBudgetShare)
	callers.BodyBytes, callers.CurrentBodyBytes = defaultBodyBytes, i.maxBodyBytes
	callers.Connections, entries.Connections = defaults.Connections, defaults.Connections
	readiness.Connections, readiness.BodyBytes, readiness.HeaderBytes = readinessConnections, 1<<10, 4<<10
	readiness.PipelinedRequests, readiness.RequestTimeout = 4, 3*time.Second
	entries.BodyBytes = entryBodyBytes
	if s.Descriptors > 0 {
		entries.Connections = min(entries.Connections, max(s.Descriptors/entriesShare, minConnections))
		left := s.Descriptors - fileDescriptors - s.Descriptors/outgoingShare - entries.Connections - readinessConnections
		callers.Connections = min(callers.Connections, max(left, minConnections))
	}
	if s.MemoryBytes > 0 {
		callers.Connections = min(callers.Connections, max(int(s.MemoryBytes/connectionMemory), minConnections))
	}
	return callers, readiness, entries
}

// clientLimits returns the limits of calls to the store and to workers. The store gets at
// most half of the descriptors for calls; a worker accepts fewer connections than that.
func clientLimits(s *platform.Settings) (store, workers transport.ClientLimits) {
	store = transport.ClientLimits{IdleTimeout: idleTimeout, SilenceTimeout: noSilenceTimeout}
	if s.MemoryBytes > 0 {
		store.TotalResponseBytes = max(int(s.MemoryBytes/responsesShare), minResponseBytes)
		store.ResponseBytes = min(transport.DefaultClientLimits().ResponseBytes, store.TotalResponseBytes)
	}
	workers = store
	workers.ConnectionsPerPeer = workerConnections
	if s.Descriptors > 0 {
		store.ConnectionsPerPeer = max(s.Descriptors/outgoingShare/2, minConnections)
	}
	return store, workers
}

// newBudget returns a budget of a part of the memory, or the transport's default.
func newBudget(s *platform.Settings, share int64) *transport.Budget {
	if s.MemoryBytes == 0 {
		return transport.NewBudget(transport.DefaultBudgetBytes)
	}
	return transport.NewBudget(s.MemoryBytes / share)
}

// maxBodyBytes returns the operator's limit for a caller's body, or 0 if none is known.
func (i *Instance) maxBodyBytes() int {
	if p := i.policy.Current(); p != nil {
		return p.BodyBytes
	}
	return 0
}
