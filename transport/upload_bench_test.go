package transport

import (
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"
)

// BenchmarkUpload measures requests with the largest body that callers may send, with the
// kernel's own buffers and with bounded ones.
func BenchmarkUpload(b *testing.B) {
	for _, socketBytes := range []int{0, 16 << 10, 64 << 10} {
		b.Run(fmt.Sprint("socketBytes=", socketBytes), func(b *testing.B) {
			s, err := Listen(loopback, func(*fasthttp.RequestCtx) {}, Limits{SocketBytes: socketBytes})
			if err != nil {
				b.Fatal(err)
			}
			client := NewClient(ClientLimits{})
			request, response := &fasthttp.Request{}, &fasthttp.Response{}
			request.Header.SetMethod(fasthttp.MethodPost)
			request.SetRequestURI("/")
			request.Header.SetHost("x")
			request.SetBody(make([]byte, 262144))
			for b.Loop() {
				if err := client.Do(b.Context(), s.Address(), request, response); err != nil {
					b.Fatal(err)
				}
			}
			_ = client.Close()
			_ = s.Close()
		})
	}
}
