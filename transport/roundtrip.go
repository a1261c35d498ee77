package transport

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

type peerKey struct{}

// WithPeer returns a context that names the peer for HTTPClient.Do.
func WithPeer(ctx context.Context, peer netip.AddrPort) context.Context {
	return context.WithValue(ctx, peerKey{}, peer)
}

// HTTPClient makes a Client usable where a library wants net/http; the peer
// comes from the request's context, never from its URL.
type HTTPClient struct {
	Client *Client
}

// Do sends the request and returns the answer with its whole body.
func (h HTTPClient) Do(request *http.Request) (*http.Response, error) {
	peer, named := request.Context().Value(peerKey{}).(netip.AddrPort)
	if !named {
		return nil, errors.New("call: the context names no peer")
	}
	call := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(call)
	if err := fillRequest(call, request); err != nil {
		return nil, &CallError{Peer: peer, cause: err}
	}
	answer := fasthttp.AcquireResponse()
	if err := h.Client.Do(request.Context(), peer, call, answer); err != nil {
		fasthttp.ReleaseResponse(answer)
		return nil, err
	}
	return httpResponse(request, answer), nil
}

func fillRequest(call *fasthttp.Request, request *http.Request) error {
	call.Header.SetMethod(request.Method)
	call.SetRequestURI(request.URL.RequestURI())
	call.Header.SetHost(request.URL.Host)
	for name, values := range request.Header {
		if name == fasthttp.HeaderUserAgent {
			continue // instances need not tell their peers which library they use
		}
		for _, value := range values {
			call.Header.Add(name, value)
		}
	}
	if request.Body == nil {
		return nil
	}
	defer func() { _ = request.Body.Close() }()
	_, err := io.Copy(call.BodyWriter(), request.Body)
	return errors.Wrap(err, "read the request's body")
}

// httpResponse passes the answer to net/http; closing the body releases it.
func httpResponse(request *http.Request, answer *fasthttp.Response) *http.Response {
	header := make(http.Header, answer.Header.Len())
	for name, value := range answer.Header.All() {
		key := string(name) // fasthttp keeps names in canonical form
		if key != fasthttp.HeaderDate {
			header[key] = append(header[key], string(value))
		}
	}
	body := &answerBody{answer: answer}
	body.Reset(answer.Body())
	return &http.Response{
		Status:        http.StatusText(answer.StatusCode()),
		StatusCode:    answer.StatusCode(),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          body,
		ContentLength: body.Size(),
		Request:       request,
	}
}

// answerBody reads the body of an answer until it is closed.
type answerBody struct {
	bytes.Reader
	answer *fasthttp.Response
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if b.answer != nil {
		b.Reset(nil)
		fasthttp.ReleaseResponse(b.answer)
		b.answer = nil
	}
	return nil
}
