package transport

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"
)

// remoteEnd gives handlers the context and the addresses of their connection,
// which outlive it here, but not in gnet. The addresses have the type of net
// for the sake of fasthttp, which asks a net.Conn for them.
type remoteEnd struct {
	net.Conn
	local, remote net.Addr
	ctx           context.Context
}

// LocalAddr implements net.Conn.
func (e *remoteEnd) LocalAddr() net.Addr { return e.local }

// RemoteAddr implements net.Conn.
func (e *remoteEnd) RemoteAddr() net.Addr { return e.remote }

// Context returns a context that ends when the connection of the request is
// closed; for a request from elsewhere it never ends.
func Context(ctx *fasthttp.RequestCtx) context.Context {
	if end, ours := ctx.Conn().(*remoteEnd); ours {
		return end.ctx
	}
	return context.Background()
}
