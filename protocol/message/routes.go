package message

import (
	"net/netip"

	"github.com/valyala/fasthttp"

	"comfreystream/state"
)

// Route assigns a handler to an exact path.
type Route struct {
	Path   string
	Handle fasthttp.RequestHandler
}

// Routes returns a handler that passes each POST request to the route with its
// path and responds with badRequest to every other request.
func Routes(routes []Route) fasthttp.RequestHandler {
	handlers := make(map[string]fasthttp.RequestHandler, len(routes))
	for _, route := range routes {
		handlers[route.Path] = route.Handle
	}
	return func(ctx *fasthttp.RequestCtx) {
		handle, found := handlers[string(ctx.Path())]
		if !found || !ctx.IsPost() {
			writeError(ctx, state.NewStepError("route "+string(ctx.Path()), netip.AddrPort{}, state.BadRequest, nil))
			return
		}
		handle(ctx)
	}
}
