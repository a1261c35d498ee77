package instance

import (
	"math"

	"golang.org/x/sys/unix"

	"comfreystream/transport"
)

const (
	// budgetShare is the part of the memory that clients may make the process hold: 1/6.
	// The garbage collector needs up to as much again, the planner uses the rest.
	budgetShare = 6
	// connectionMemory is the memory for each connection to be open, with its buffers in
	// the kernel.
	connectionMemory = 48 << 10
	// socketBytes bounds each of the kernel's two buffers of a connection; the kernel
	// doubles it. It holds a request with the largest headers.
	socketBytes = 16 << 10
	// ownDescriptorsShare is the part of the descriptors for files and for calls to
	// others: 1/2.
	ownDescriptorsShare = 2
)

// newBudget returns the budget for the instance's memory, but at least two of the
// largest bodies, as one is held while the other arrives.
func (i *Instance) newBudget() *transport.Budget {
	bytes := int64(transport.DefaultBudgetBytes)
	if i.settings.MemoryBytes > 0 {
		bytes = i.settings.MemoryBytes / budgetShare
	}
	return transport.NewBudget(max(bytes, 2*int64(i.settings.BodyBytes)))
}

// maxConnections returns the connections of the settings, or fewer if the memory or the
// process's limit of descriptors does not allow them.
func (i *Instance) maxConnections() int {
	connections := i.settings.Connections
	if i.settings.MemoryBytes > 0 {
		connections = min(connections, int(i.settings.MemoryBytes/connectionMemory))
	}
	var descriptors unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors); err == nil && descriptors.Cur < math.MaxInt32 {
		connections = min(connections, max(int(descriptors.Cur)/ownDescriptorsShare, 1))
	}
	return connections
}
