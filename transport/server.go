package transport

import (
	"bufio"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// A connection whose client has disappeared without closing it is closed after
// tcpKeepAliveIdle + tcpKeepAliveProbes * tcpKeepAliveInterval.
const (
	tcpKeepAliveIdle     = 5 * time.Second
	tcpKeepAliveInterval = 2 * time.Second
	tcpKeepAliveProbes   = 3
)

// engineRestartDelay is the time between the failure of the gnet engine and its
// replacement.
const engineRestartDelay = 100 * time.Millisecond

// Server serves HTTP/1.1 requests on one TCP address. Handlers run on a bounded
// pool of goroutines, never on an event loop, so they may block.
type Server struct {
	gnet.BuiltinEventEngine

	handler     fasthttp.RequestHandler
	limits      Limits
	address     netip.AddrPort
	handlerPool *ants.PoolWithFuncGeneric[*exchange]

	headerParsers sync.Pool

	openConnections atomic.Int64
	// displacing counts the connections that are about to make room for others.
	displacing atomic.Int64
	// inFlight counts the requests without a complete response, except those
	// that arrived during a drain, which inFlightDuringDrain counts.
	inFlight            atomic.Int64
	inFlightDuringDrain atomic.Int64
	// draining is set by DisableKeepAlives and Drain; drained is set once new
	// requests are refused.
	draining atomic.Bool
	drained  atomic.Bool
	// requestsDone is signalled when a count of requests falls to zero while
	// the server is draining.
	requestsDone chan struct{}

	// booted receives the result of the first start; stopped is closed when run
	// returns; closing is closed by Close.
	booted  chan error
	stopped chan struct{}
	// hasBooted is set by the first start; only run and OnBoot use it.
	hasBooted       bool
	runningHandlers sync.WaitGroup
	closing         chan struct{}
	closeOnce       sync.Once

	mu     sync.Mutex
	engine gnet.Engine
}

// Listen starts a server on the address; port 0 selects a free port. Limits that
// are not set take the values of DefaultLimits.
func Listen(address netip.AddrPort, handler fasthttp.RequestHandler, limits Limits) (*Server, error) {
	s := &Server{
		handler:      handler,
		limits:       limits.orDefaults(),
		requestsDone: make(chan struct{}, 1),
		booted:       make(chan error, 1),
		stopped:      make(chan struct{}),
		closing:      make(chan struct{}),
	}
	pool, err := ants.NewPoolWithFuncGeneric(s.limits.Handlers, (*exchange).handle, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s: start handler pool", address)
	}
	s.handlerPool = pool
	s.headerParsers.New = func() any {
		return &headerParser{buffered: bufio.NewReaderSize(nil, s.limits.HeaderBytes)}
	}
	bound, release, err := reservePort(address)
	if err != nil {
		pool.Release()
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	defer release()
	s.address = bound
	go s.run(bound)
	if err := <-s.booted; err != nil {
		<-s.stopped
		pool.Release()
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return s, nil
}

// Address returns the bound address.
func (s *Server) Address() netip.AddrPort { return s.address }

// DisableKeepAlives makes the server close each connection after its last pending
// response, with "Connection: close", so that clients move to new connections or
// to other servers. The server still accepts connections and requests.
func (s *Server) DisableKeepAlives() { s.draining.Store(true) }

// Drain serves the requests in flight and those that still arrive, and closes
// their connections as DisableKeepAlives does. Once the requests that were in
// flight have been answered, the server refuses further ones; Drain returns when
// none is left. If the context ends earlier, Drain returns its error.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := s.waitForRequests(ctx, &s.inFlight); err != nil {
		return err
	}
	s.drained.Store(true)
	if err := s.waitForRequests(ctx, &s.inFlight); err != nil {
		return err
	}
	return s.waitForRequests(ctx, &s.inFlightDuringDrain)
}

// Close closes every connection and waits until all handlers have returned. Call
// Drain first to answer the requests in flight.
func (s *Server) Close() error {
	s.closeOnce.Do(func() {
		s.drained.Store(true)
		close(s.closing)
		s.stopEngine()
		<-s.stopped
		s.runningHandlers.Wait()
		s.handlerPool.Release()
	})
	return nil
}

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.mu.Lock()
	s.engine = engine
	s.mu.Unlock()
	if s.isClosing() {
		return gnet.Shutdown
	}
	if !s.hasBooted {
		s.hasBooted = true
		s.booted <- nil
	}
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	open := s.openConnections.Add(1)
	c := newConnection(s, conn)
	conn.SetContext(c)
	if open > int64(s.limits.Connections) && !s.makeRoomNow(c) {
		s.limits.Count(TooManyConnections)
		return nil, gnet.Close
	}
	c.idleSince.Store(time.Now().UnixNano())
	s.makeRoom(open)
	s.limits.Budget.register(c)
	// The option is set for each connection instead of the listener, where gnet
	// would report a failed bind as a failure to set this option.
	if err := conn.SetKeepAlive(true, tcpKeepAliveIdle, tcpKeepAliveInterval, tcpKeepAliveProbes); err != nil {
		return nil, gnet.Close
	}
	c.setDeadline(s.limits.IdleTimeout, ConnectionIdle)
	return nil, gnet.None
}

// makeRoomNow closes the idlest connection on the event loop of a new one; it reports
// false if there is none.
func (s *Server) makeRoomNow(c *connection) bool {
	found := s.limits.Budget.idlest(s, 1, c.loop)
	if len(found) == 0 {
		return false
	}
	s.displacing.Add(1)
	found[0].displace()
	return found[0].closed
}

// makeRoom has the idlest connections closed when few more are allowed.
func (s *Server) makeRoom(open int64) {
	reserve := int64(s.limits.Connections / 16)
	excess := open - s.displacing.Load() - int64(s.limits.Connections) + reserve
	if reserve == 0 || excess <= 0 {
		return
	}
	for _, c := range s.limits.Budget.idlest(s, int(excess+reserve/4), nil) {
		s.displacing.Add(1)
		if !c.runOnLoop(c.displace) {
			s.displacing.Add(-1)
		}
	}
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	c, known := conn.Context().(*connection)
	if !known {
		return gnet.Close
	}
	return c.readRequests()
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if c, known := conn.Context().(*connection); known {
		s.openConnections.Add(-1)
		c.cleanUp()
	}
	return gnet.None
}

// run runs a gnet engine on the address until the server is closed, and replaces
// an engine that stopped: gnet stops an engine when accepting a connection
// fails, for example because no file descriptor is free.
func (s *Server) run(address netip.AddrPort) {
	defer close(s.stopped)
	for {
		err := s.runEngine(address)
		if !s.hasBooted {
			s.booted <- err
			return
		}
		if s.isClosing() {
			return
		}
		s.limits.Count(EngineFailed)
		select {
		case <-s.closing:
			return
		case <-time.After(engineRestartDelay):
		}
	}
}

func (s *Server) runEngine(address netip.AddrPort) error {
	return gnet.Run(s, "tcp://"+address.String(),
		gnet.WithMulticore(true),
		gnet.WithReuseAddr(true),
		// Each event loop has a listener of its own and accepts one connection at a time.
		// A loop that accepts for others runs ahead of them: it had a thousand descriptors
		// open before any was counted.
		gnet.WithReusePort(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithSocketRecvBuffer(s.limits.SocketBytes),
		gnet.WithSocketSendBuffer(s.limits.SocketBytes),
		gnet.WithLogger(zap.NewNop().Sugar()))
}

func (s *Server) stopEngine() {
	s.mu.Lock()
	engine := s.engine
	s.mu.Unlock()
	stopNow, cancel := context.WithCancel(context.Background())
	cancel()
	_ = engine.Stop(stopNow)
}

func (s *Server) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

func (s *Server) waitForRequests(ctx context.Context, count *atomic.Int64) error {
	for count.Load() > 0 {
		select {
		case <-s.requestsDone:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "drain %s: %d requests in flight", s.address, count.Load())
		}
	}
	return nil
}

func (s *Server) requestBegan(duringDrain bool) { s.requestCounter(duringDrain).Add(1) }

func (s *Server) requestEnded(duringDrain bool) {
	if s.requestCounter(duringDrain).Add(-1) > 0 || !s.draining.Load() {
		return
	}
	select {
	case s.requestsDone <- struct{}{}:
	default:
	}
}

func (s *Server) requestCounter(duringDrain bool) *atomic.Int64 {
	if duringDrain {
		return &s.inFlightDuringDrain
	}
	return &s.inFlight
}
