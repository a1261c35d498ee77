package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// readRequest reads up to the end of a request's header, and reports whether it came.
func readRequest(conn net.Conn) bool {
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil || line == "\r\n" {
			return err == nil
		}
	}
}

func wait(d time.Duration) { <-time.After(d) }

func say(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// TestClientFaults has the first connection go wrong; the next call must get
// its whole answer over a fresh one.
func TestClientFaults(t *testing.T) {
	tests := []struct {
		name    string
		peer    func(conn net.Conn)
		want    string
		sent    bool
		silent  bool
		took    time.Duration
		timeout time.Duration
	}{
		{"answered", func(c net.Conn) { readRequest(c); say(c, wholeAnswer) }, "whole", false, false, 0, 0},
		{"slow but alive", func(c net.Conn) {
			readRequest(c)
			for range 5 {
				wait(heartbeatInterval)
				say(c, heartbeatText)
			}
			say(c, wholeAnswer)
		}, "whole", false, false, 5 * heartbeatInterval, time.Minute},
		{"silent", func(c net.Conn) { readRequest(c) }, "", true, true, 2 * heartbeatInterval, time.Minute},
		{"silent after heartbeats", func(c net.Conn) { readRequest(c); say(c, heartbeatText) }, "", true, true, 2 * heartbeatInterval, time.Minute},
		{"takes nothing", func(net.Conn) {}, "", false, true, 2 * heartbeatInterval, time.Minute},
		{"late", func(c net.Conn) { readRequest(c) }, "", true, true, time.Second, time.Second},
		{"half an answer, then silent", func(c net.Conn) { readRequest(c); say(c, wholeAnswer[:40]) }, "", true, true, 2 * heartbeatInterval, time.Minute},
		{"half an answer, then closed", func(c net.Conn) { readRequest(c); say(c, wholeAnswer[:40]); _ = c.Close() }, "", true, false, 0, 0},
		{"closed without an answer", func(c net.Conn) { readRequest(c); _ = c.Close() }, "", true, false, 0, 0},
		{"closed at once", func(c net.Conn) { _ = c.Close() }, "", false, false, 0, 0},
		{"no HTTP", func(c net.Conn) { readRequest(c); say(c, "hello\r\n\r\n") }, "", true, false, 0, 0},
		{"answer too large", func(c net.Conn) { readRequest(c); say(c, "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n") }, "", true, false, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dialled := 0
				client := NewClient(ClientLimits{})
				client.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
					near, far := net.Pipe()
					t.Cleanup(func() { _ = far.Close() })
					dialled++
					if dialled == 1 {
						go tt.peer(far)
					} else {
						go func() { readRequest(far); say(far, wholeAnswer) }()
					}
					return near, nil
				}
				began := time.Now()
				body, err := callOnce(t, client, tt.timeout)
				checkFault(t, err, tt.sent, tt.silent)
				if took := time.Since(began); body != tt.want || took != tt.took {
					t.Errorf("answer %q after %v, want %q after %v", body, took, tt.want, tt.took)
				}
				if tt.want == "" {
					if body, err := callOnce(t, client, 0); body != "whole" || err != nil {
						t.Errorf("next call: %q, %v", body, err)
					}
				}
				if err := client.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func callOnce(t *testing.T, client *Client, timeout time.Duration) (string, error) {
	ctx := t.Context()
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	var request fasthttp.Request
	var response fasthttp.Response
	request.SetRequestURI("/")
	request.Header.SetHost("x")
	err := client.Do(ctx, loopback, &request, &response)
	if err != nil {
		return "", err
	}
	return string(response.Body()), nil
}

func checkFault(t *testing.T, err error, sent, silent bool) {
	t.Helper()
	var call *CallError
	if errors.As(err, &call) {
		if call.Sent != sent || call.Silent != silent || MayHaveActed(err) != sent {
			t.Errorf("%v: sent %v, silent %v; want %v, %v", err, call.Sent, call.Silent, sent, silent)
		}
		return
	}
	if err != nil || sent || silent {
		t.Errorf("error %v; want sent %v, silent %v", err, sent, silent)
	}
}

func TestClientConnections(t *testing.T) {
	const slow = 2 * time.Second
	tests := []struct {
		name string
		act  func(t *testing.T, c *Client)
		// dialled is how many connections the calls took.
		dialled int32
	}{
		{"one connection serves calls in turn", func(t *testing.T, c *Client) {
			for range 3 {
				_, _ = callOnce(t, c, 0)
			}
		}, 1},
		{"an idle connection expires", func(t *testing.T, c *Client) {
			_, _ = callOnce(t, c, 0)
			wait(5 * time.Second)
			_, _ = callOnce(t, c, 0)
		}, 2},
		{"calls above the bound wait", func(t *testing.T, c *Client) {
			for range 4 {
				go func() { _, _ = callOnce(t, c, 10*slow) }()
			}
			wait(10 * slow)
		}, 2},
		{"a call that waits in vain was not sent", func(t *testing.T, c *Client) {
			for range 2 {
				go func() { _, _ = callOnce(t, c, 10*slow) }()
			}
			synctest.Wait()
			_, err := callOnce(t, c, slow/2)
			checkFault(t, err, false, true)
			wait(10 * slow)
		}, 2},
		{"closing ends calls", func(t *testing.T, c *Client) {
			go func() {
				_, err := callOnce(t, c, 10*slow)
				checkFault(t, err, true, false)
			}()
			synctest.Wait()
			_ = c.Close()
			_, err := callOnce(t, c, 0)
			checkFault(t, err, false, false)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var dialled atomic.Int32
				client := NewClient(ClientLimits{ConnectionsPerPeer: 2})
				client.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
					near, far := net.Pipe()
					t.Cleanup(func() { _ = far.Close() })
					dialled.Add(1)
					go func() {
						for readRequest(far) {
							wait(slow)
							say(far, wholeAnswer)
						}
					}()
					return near, nil
				}
				tt.act(t, client)
				if dialled.Load() != tt.dialled {
					t.Errorf("%d connections, want %d", dialled.Load(), tt.dialled)
				}
				_ = client.Close()
				wait(slow) // until the peers have seen the end
			})
		})
	}
}

// TestClientForgetsPeers replaces every instance; what is kept must follow.
func TestClientForgetsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(ClientLimits{})
		client.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				for readRequest(far) {
					say(far, wholeAnswer)
				}
			}()
			return near, nil
		}
		const instances = 200
		for round := range 5 {
			for i := range instances {
				peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(round), byte(i)}), 1)
				if err := get(t, client, peer); err != nil {
					t.Fatal(err)
				}
			}
			wait(2 * DefaultClientLimits().IdleTimeout)
		}
		kept := 0
		for i := range client.shards {
			kept += len(client.shards[i].peers)
		}
		if kept > 2*instances {
			t.Errorf("%d peers are kept of %d instances", kept, instances)
		}
		_ = client.Close()
	})
}
