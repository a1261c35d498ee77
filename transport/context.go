package transport

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"
)

// handlerConn is the net.Conn that fasthttp passes to handlers. It provides the
// connection's context and addresses, which stay valid after the connection is
// closed, unlike those of gnet.Conn; fasthttp requires the net.Addr type.
type handlerConn struct {
	net.Conn
	local, remote net.Addr
	ctx           context.Context
}

// LocalAddr implements net.Conn.
func (c *handlerConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *handlerConn) RemoteAddr() net.Addr { return c.remote }

// ConnectionContext returns a context that is cancelled when the connection of
// the request is closed; for a request that no Server received it is never
// cancelled.
func ConnectionContext(ctx *fasthttp.RequestCtx) context.Context {
	if conn, found := ctx.Conn().(*handlerConn); found {
		return conn.ctx
	}
	return context.Background()
}
