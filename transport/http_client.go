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

// WithPeer returns a context that carries the peer to call for HTTPClient.Do.
func WithPeer(ctx context.Context, peer netip.AddrPort) context.Context {
	return context.WithValue(ctx, peerKey{}, peer)
}

// HTTPClient adapts a Client for libraries that need a net/http client. The peer
// to call is taken from the request's context (see WithPeer), not from its URL.
type HTTPClient struct {
	Client *Client
}

// Do sends the request and returns the response, whose body has been read
// completely. Errors of the call are of type *CallError.
func (h HTTPClient) Do(request *http.Request) (*http.Response, error) {
	peer, found := request.Context().Value(peerKey{}).(netip.AddrPort)
	if !found {
		return nil, errors.New("call: request context has no peer")
	}
	fastRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(fastRequest)
	if err := convertRequest(fastRequest, request); err != nil {
		return nil, &CallError{Peer: peer, cause: err}
	}
	fastResponse := fasthttp.AcquireResponse()
	if err := h.Client.Do(request.Context(), peer, fastRequest, fastResponse); err != nil {
		fasthttp.ReleaseResponse(fastResponse)
		return nil, err
	}
	return convertResponse(request, fastResponse), nil
}

func convertRequest(fastRequest *fasthttp.Request, request *http.Request) error {
	fastRequest.Header.SetMethod(request.Method)
	fastRequest.SetRequestURI(request.URL.RequestURI())
	fastRequest.Header.SetHost(request.URL.Host)
	for name, values := range request.Header {
		if name == fasthttp.HeaderUserAgent {
			continue // peers have no use for the name of the library
		}
		for _, value := range values {
			fastRequest.Header.Add(name, value)
		}
	}
	if request.Body == nil {
		return nil
	}
	defer func() { _ = request.Body.Close() }()
	_, err := io.Copy(fastRequest.BodyWriter(), request.Body)
	return errors.Wrap(err, "read request body")
}

// convertResponse wraps the response for net/http; closing its body releases it.
func convertResponse(request *http.Request, fastResponse *fasthttp.Response) *http.Response {
	header := make(http.Header, fastResponse.Header.Len())
	for name, value := range fastResponse.Header.All() {
		key := string(name) // fasthttp keeps names in canonical form
		if key != fasthttp.HeaderDate {
			header[key] = append(header[key], string(value))
		}
	}
	body := &responseBody{response: fastResponse}
	body.Reset(fastResponse.Body())
	return &http.Response{
		Status:        http.StatusText(fastResponse.StatusCode()),
		StatusCode:    fastResponse.StatusCode(),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          body,
		ContentLength: body.Size(),
		Request:       request,
	}
}

// responseBody reads the body of a fasthttp response and releases the response
// when it is closed.
type responseBody struct {
	bytes.Reader
	response *fasthttp.Response
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.response != nil {
		b.Reset(nil)
		fasthttp.ReleaseResponse(b.response)
		b.response = nil
	}
	return nil
}
