package transport

import (
	"net/http"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Adapt lends a net/http handler to a server; the handler runs on the
// request's own goroutine, its context ends with the connection, and its
// answer leaves when it returns.
func Adapt(handler http.Handler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		var request http.Request
		if err := fasthttpadaptor.ConvertRequest(ctx, &request, true); err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		w := answerWriter{answer: &ctx.Response, header: make(http.Header)}
		handler.ServeHTTP(&w, request.WithContext(Context(ctx)))
		w.WriteHeader(http.StatusOK)
	}
}

// answerWriter is a net/http response writer over a fasthttp answer.
type answerWriter struct {
	answer  *fasthttp.Response
	header  http.Header
	written bool
}

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter; interim answers are dropped.
func (w *answerWriter) WriteHeader(status int) {
	if w.written || status < http.StatusOK {
		return
	}
	w.written = true
	w.answer.SetStatusCode(status)
	for name, values := range w.header {
		if name == fasthttp.HeaderAcceptEncoding {
			continue // clients send no encoded request because of it
		}
		for _, value := range values {
			w.answer.Header.Add(name, value)
		}
	}
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.answer.AppendBody(p)
	return len(p), nil
}
