package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/semaphore"

	"comfreystream/transport"
)

const (
	// decompressedBytes bounds the decompressed messages of all requests that are handled
	// at the same time: 8 KiB may decompress to maxMessageBytes, which the transport's
	// budget does not see.
	decompressedBytes = maxMessageBytes
	// measuringBytes is what it takes to find the size of a message.
	measuringBytes = 64 << 10
	// decompressWait bounds the wait for other messages.
	decompressWait = time.Second
)

// decompressing counts the decompressed messages of all requests.
var decompressing = semaphore.NewWeighted(decompressedBytes)

// boundDecompression refuses a compressed request, before it is handled, while others take
// all of decompressedBytes. It refuses every content type but that of the clients of this
// package, as other protocols mark compression elsewhere.
func boundDecompression(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	const contentType = "application/cbor"
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Request.Header.ContentType()) != contentType {
			ctx.SetStatusCode(http.StatusUnsupportedMediaType)
			return
		}
		if len(ctx.Request.Header.ContentEncoding()) == 0 {
			next(ctx)
			return
		}
		waiting, cancel := context.WithTimeout(transport.ConnectionContext(ctx), decompressWait)
		defer cancel()
		if decompressing.Acquire(waiting, measuringBytes) != nil {
			ctx.SetStatusCode(http.StatusServiceUnavailable)
			return
		}
		size := decompressedSize(ctx.PostBody())
		decompressing.Release(measuringBytes)
		if decompressing.Acquire(waiting, size) != nil {
			ctx.SetStatusCode(http.StatusServiceUnavailable)
			return
		}
		defer decompressing.Release(size)
		next(ctx)
	}
}

// decompressedSize returns what decompressing the message takes, up to maxMessageBytes.
func decompressedSize(message []byte) int64 {
	reader, err := gzip.NewReader(bytes.NewReader(message))
	if err != nil {
		return 0 // it will not be decompressed either
	}
	size, _ := io.Copy(io.Discard, io.LimitReader(reader, maxMessageBytes)) // up to an error, as the handler does
	return size
}
