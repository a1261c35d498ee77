package settings

import (
	"fmt"
	"net/netip"
	"time"

	"comfreystream/protocol/document"
)

const (
	maxFileBytes               = 64 << 10
	defaultDrainLimit          = 30 * time.Second
	maxDrainLimit              = time.Hour
	defaultStoreCallsPerSecond = 100
	maxStoreCallsPerSecond     = 2000
	defaultConnections         = 4096
	maxConnections             = 1 << 16
	defaultBodyBytes           = 1 << 20
	maxBodyBytes               = 64 << 20
	minMemoryMiB               = 64
	maxMemoryMiB               = 1 << 20
	defaultLogLevel            = "info"
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Settings holds the settings of one entry instance.
type Settings struct {
	AvailabilityZone string
	// Address is the instance's address for callers, operators and other entries
	// over TCP, and for membership datagrams over UDP.
	Address netip.AddrPort
	// Seeds are addresses of other entries to contact in addition to those in the
	// instance list.
	Seeds []netip.AddrPort
	// Store and InstanceList are the addresses of the platform's services.
	Store        netip.AddrPort
	InstanceList netip.AddrPort
	// StoreCallsPerSecond limits the calls of this instance to the store.
	StoreCallsPerSecond float64
	// Connections limits the open connections, BodyBytes the body of a request.
	Connections int
	BodyBytes   int
	// MemoryBytes is the memory that the instance may use; 0 means that it is not known.
	MemoryBytes int64
	// DrainLimit is how long a shutdown waits for the requests in progress. A
	// caller that still waits then gets a response without an outcome, which names
	// the job so that its outcome can be requested later.
	DrainLimit time.Duration
	LogLevel   string
}

// Decode decodes and validates a settings file; name is the file's name in error
// messages. An invalid file gives a *document.Error with the position and remedy
// of each problem.
func Decode(name string, data []byte) (*Settings, error) {
	d, root, err := document.Parse(name, data, maxFileBytes)
	if err != nil {
		return nil, err
	}
	s := decodeSettings(root)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func decodeSettings(root document.Node) *Settings {
	o := root.Object("availabilityZone", "address", "seeds", "store", "instanceList",
		"storeCallsPerSecond", "connections", "bodyBytes", "memoryMiB", "drainLimit", "logLevel")
	s := &Settings{
		AvailabilityZone:    o.Require("availabilityZone").Name(),
		Address:             decodeAddress(o.Require("address")),
		Store:               decodeAddress(o.Require("store")),
		InstanceList:        decodeAddress(o.Require("instanceList")),
		StoreCallsPerSecond: defaultStoreCallsPerSecond,
		Connections:         defaultConnections,
		BodyBytes:           defaultBodyBytes,
		DrainLimit:          defaultDrainLimit,
		LogLevel:            defaultLogLevel,
	}
	for _, seed := range o.Get("seeds").List() {
		s.Seeds = append(s.Seeds, decodeAddress(seed))
	}
	decodeOptional(o, s)
	return s
}

func decodeOptional(o document.Object, s *Settings) {
	if n := o.Get("storeCallsPerSecond"); n.Exists() {
		s.StoreCallsPerSecond = n.Number(1, maxStoreCallsPerSecond)
	}
	if n := o.Get("connections"); n.Exists() {
		s.Connections = int(n.Integer(1, maxConnections))
	}
	if n := o.Get("bodyBytes"); n.Exists() {
		s.BodyBytes = int(n.Integer(1, maxBodyBytes))
	}
	if n := o.Get("memoryMiB"); n.Exists() {
		s.MemoryBytes = n.Integer(minMemoryMiB, maxMemoryMiB) << 20
	}
	if n := o.Get("drainLimit"); n.Exists() {
		s.DrainLimit = decodeDuration(n, maxDrainLimit)
	}
	if n := o.Get("logLevel"); n.Exists() {
		s.LogLevel = logLevels[n.Choice(logLevels...)]
	}
}

// decodeAddress decodes an IP address and a port. Host names are not allowed, so
// that an instance does not depend on a resolver.
func decodeAddress(n document.Node) netip.AddrPort {
	if !n.Exists() {
		return netip.AddrPort{}
	}
	text := n.Text()
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		n.ReportProblem(fmt.Sprintf("%q is not an address", text), `write an IP address and a port, as in "10.2.0.7:7070"`)
	}
	return address
}

func decodeDuration(n document.Node, maximum time.Duration) time.Duration {
	duration, err := time.ParseDuration(n.Text())
	if err != nil || duration <= 0 || duration > maximum {
		n.ReportProblem("is not a valid duration", fmt.Sprintf(`write a duration up to %v, as in "30s"`, maximum))
	}
	return duration
}
