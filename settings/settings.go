package settings

import (
	"fmt"
	"net/netip"
	"time"

	"comfreystream/protocol/document"
)

const (
	maxBytes            = 64 << 10
	defaultDrainLimit   = 30 * time.Second
	maxDrainLimit       = time.Hour
	defaultStoreCalls   = 100
	maxStoreCalls       = 2000
	defaultConnections  = 4096
	maxConnections      = 1 << 16
	defaultBodyBytes    = 1 << 20
	maxBodyBytes        = 64 << 20
	defaultLogLevelName = "info"
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Settings are what one entry instance is told at its start.
type Settings struct {
	AvailabilityZone string
	// Address is where callers, operators and other entries reach the instance
	// over TCP, and where membership datagrams reach it over UDP.
	Address netip.AddrPort
	// Seeds are addresses of other entries, tried besides those of the instance list.
	Seeds []netip.AddrPort
	// Store and InstanceList are the platform's services.
	Store        netip.AddrPort
	InstanceList netip.AddrPort
	// StoreCallsPerSecond bounds the calls of this instance to the store.
	StoreCallsPerSecond float64
	// Connections bounds the open connections, BodyBytes the body of one request.
	Connections int
	BodyBytes   int
	// DrainLimit is how long a shutdown waits for requests in flight before it
	// answers where to ask for their outcome.
	DrainLimit time.Duration
	LogLevel   string
}

// Decode reads settings; name is the file's name for messages. Refused
// settings are a *document.Error with the place and remedy of each problem.
func Decode(name string, data []byte) (*Settings, error) {
	d, root, err := document.Parse(name, data, maxBytes)
	if err != nil {
		return nil, err
	}
	s := decode(root)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func decode(root document.Node) *Settings {
	o := root.Object("availabilityZone", "address", "seeds", "store", "instanceList",
		"storeCallsPerSecond", "connections", "bodyBytes", "drainLimit", "logLevel")
	s := &Settings{
		AvailabilityZone:    o.Require("availabilityZone").Name(),
		Address:             addressOf(o.Require("address")),
		Store:               addressOf(o.Require("store")),
		InstanceList:        addressOf(o.Require("instanceList")),
		StoreCallsPerSecond: defaultStoreCalls,
		Connections:         defaultConnections,
		BodyBytes:           defaultBodyBytes,
		DrainLimit:          defaultDrainLimit,
		LogLevel:            defaultLogLevelName,
	}
	for _, seed := range o.Get("seeds").List() {
		s.Seeds = append(s.Seeds, addressOf(seed))
	}
	decodeOptional(o, s)
	return s
}

func decodeOptional(o document.Object, s *Settings) {
	if n := o.Get("storeCallsPerSecond"); n.Exists() {
		s.StoreCallsPerSecond = n.Number(1, maxStoreCalls)
	}
	if n := o.Get("connections"); n.Exists() {
		s.Connections = int(n.Integer(1, maxConnections))
	}
	if n := o.Get("bodyBytes"); n.Exists() {
		s.BodyBytes = int(n.Integer(1, maxBodyBytes))
	}
	if n := o.Get("drainLimit"); n.Exists() {
		s.DrainLimit = durationOf(n, maxDrainLimit)
	}
	if n := o.Get("logLevel"); n.Exists() {
		s.LogLevel = logLevels[n.Choice(logLevels...)]
	}
}

// addressOf reads an IP number and a port; a name would need a resolver, which
// an instance must not depend on.
func addressOf(n document.Node) netip.AddrPort {
	if !n.Exists() {
		return netip.AddrPort{}
	}
	text := n.Text()
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		n.Refuse(fmt.Sprintf("%q is not an address", text), `write an IP number and a port, as in "10.2.0.7:7070"`)
	}
	return address
}

func durationOf(n document.Node, most time.Duration) time.Duration {
	duration, err := time.ParseDuration(n.Text())
	if err != nil || duration <= 0 || duration > most {
		n.Refuse("is not a duration that can be used", fmt.Sprintf(`write a duration up to %v, as in "30s"`, most))
	}
	return duration
}
