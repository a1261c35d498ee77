package transport

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"
)

// remoteEnd lets a handler find the context of its connection.
type remoteEnd struct {
	net.Conn
	ctx context.Context
}

// Context returns a context that ends when the connection of the request is
// closed; for a request from elsewhere it never ends.
func Context(ctx *fasthttp.RequestCtx) context.Context {
	if end, ours := ctx.Conn().(*remoteEnd); ours {
		return end.ctx
	}
	return context.Background()
}
