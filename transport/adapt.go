package transport

import (
	"net/http"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// AdaptHandler converts a net/http handler for use in a Server. The request's
// context is cancelled when its connection is closed, and the response is buffered
// until the handler returns.
func AdaptHandler(handler http.Handler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		var request http.Request
		if err := fasthttpadaptor.ConvertRequest(ctx, &request, true); err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		w := responseWriter{response: &ctx.Response, header: make(http.Header)}
		handler.ServeHTTP(&w, request.WithContext(ConnectionContext(ctx)))
		w.WriteHeader(http.StatusOK)
	}
}

// responseWriter is an http.ResponseWriter that fills a fasthttp response.
type responseWriter struct {
	response      *fasthttp.Response
	header        http.Header
	headerWritten bool
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter; it ignores interim responses.
func (w *responseWriter) WriteHeader(status int) {
	if w.headerWritten || status < http.StatusOK {
		return
	}
	w.headerWritten = true
	w.response.SetStatusCode(status)
	for name, values := range w.header {
		if name == fasthttp.HeaderAcceptEncoding {
			continue // advertises encodings for requests, which clients of this package never encode
		}
		for _, value := range values {
			w.response.Header.Add(name, value)
		}
	}
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.response.AppendBody(p)
	return len(p), nil
}
