package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// readRequest reads a request's header and reports whether it was complete.
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

func sendText(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// TestClientFaults checks the error of a call whose first connection fails in
// several ways. The next call must not reuse that connection.
func TestClientFaults(t *testing.T) {
	tests := []struct {
		name     string
		serve    func(conn net.Conn)
		want     string
		sent     bool
		timedOut bool
		took     time.Duration
		timeout  time.Duration
	}{
		{"complete response", func(c net.Conn) { readRequest(c); sendText(c, completeResponse) }, "whole", false, false, 0, 0},
		{"heartbeats, then a complete response", func(c net.Conn) {
			readRequest(c)
			for range 5 {
				wait(heartbeatInterval)
				sendText(c, heartbeatResponse)
			}
			sendText(c, completeResponse)
		}, "whole", false, false, 5 * heartbeatInterval, time.Minute},
		{"no response", func(c net.Conn) { readRequest(c) }, "", true, true, 2 * heartbeatInterval, time.Minute},
		{"heartbeat, then nothing", func(c net.Conn) { readRequest(c); sendText(c, heartbeatResponse) }, "", true, true, 2 * heartbeatInterval, time.Minute},
		{"request not read", func(net.Conn) {}, "", false, true, 2 * heartbeatInterval, time.Minute},
		{"no response before the deadline", func(c net.Conn) { readRequest(c) }, "", true, true, time.Second, time.Second},
		{"partial response, then nothing", func(c net.Conn) { readRequest(c); sendText(c, completeResponse[:40]) }, "", true, true, 2 * heartbeatInterval, time.Minute},
		{"partial response, then closed", func(c net.Conn) { readRequest(c); sendText(c, completeResponse[:40]); _ = c.Close() }, "", true, false, 0, 0},
		{"closed without a response", func(c net.Conn) { readRequest(c); _ = c.Close() }, "", true, false, 0, 0},
		{"closed before the request", func(c net.Conn) { _ = c.Close() }, "", false, false, 0, 0},
		{"response not HTTP", func(c net.Conn) { readRequest(c); sendText(c, "hello\r\n\r\n") }, "", true, false, 0, 0},
		{"response too large", func(c net.Conn) { readRequest(c); sendText(c, "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n") }, "", true, false, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dialled := 0
				client := NewClient(ClientLimits{})
				client.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
					clientSide, server := net.Pipe()
					t.Cleanup(func() { _ = server.Close() })
					dialled++
					if dialled == 1 {
						go tt.serve(server)
					} else {
						go func() { readRequest(server); sendText(server, completeResponse) }()
					}
					return clientSide, nil
				}
				began := time.Now()
				body, err := callBody(t, client, tt.timeout)
				checkCallError(t, err, tt.sent, tt.timedOut)
				if took := time.Since(began); body != tt.want || took != tt.took {
					t.Errorf("body %q after %v, want %q after %v", body, took, tt.want, tt.took)
				}
				if tt.want == "" {
					if body, err := callBody(t, client, 0); body != "whole" || err != nil {
						t.Errorf("next call: body %q, error %v", body, err)
					}
				}
				if err := client.Close(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func callBody(t *testing.T, client *Client, timeout time.Duration) (string, error) {
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

func checkCallError(t *testing.T, err error, sent, timedOut bool) {
	t.Helper()
	var call *CallError
	if errors.As(err, &call) {
		if call.Sent != sent || call.TimedOut != timedOut || MayHaveActed(err) != sent {
			t.Errorf("%v: sent %v, timed out %v; want %v, %v", err, call.Sent, call.TimedOut, sent, timedOut)
		}
		return
	}
	if err != nil || sent || timedOut {
		t.Errorf("error %v, want one with sent %v, timed out %v", err, sent, timedOut)
	}
}

func TestClientConnections(t *testing.T) {
	const slow = 2 * time.Second
	tests := []struct {
		name string
		act  func(t *testing.T, c *Client)
		// dialled is the number of connections that the calls opened.
		dialled int32
	}{
		{"sequential calls share a connection", func(t *testing.T, c *Client) {
			for range 3 {
				_, _ = callBody(t, c, 0)
			}
		}, 1},
		{"an idle connection expires", func(t *testing.T, c *Client) {
			_, _ = callBody(t, c, 0)
			wait(5 * time.Second)
			_, _ = callBody(t, c, 0)
		}, 2},
		{"calls above the connection limit wait", func(t *testing.T, c *Client) {
			for range 4 {
				go func() { _, _ = callBody(t, c, 10*slow) }()
			}
			wait(10 * slow)
		}, 2},
		{"a call that gets no connection in time is not sent", func(t *testing.T, c *Client) {
			for range 2 {
				go func() { _, _ = callBody(t, c, 10*slow) }()
			}
			synctest.Wait()
			_, err := callBody(t, c, slow/2)
			checkCallError(t, err, false, true)
			wait(10 * slow)
		}, 2},
		{"closing the client ends its calls", func(t *testing.T, c *Client) {
			go func() {
				_, err := callBody(t, c, 10*slow)
				checkCallError(t, err, true, false)
			}()
			synctest.Wait()
			_ = c.Close()
			_, err := callBody(t, c, 0)
			checkCallError(t, err, false, false)
		}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var dialled atomic.Int32
				client := NewClient(ClientLimits{ConnectionsPerPeer: 2})
				client.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
					clientSide, server := net.Pipe()
					t.Cleanup(func() { _ = server.Close() })
					dialled.Add(1)
					go func() {
						for readRequest(server) {
							wait(slow)
							sendText(server, completeResponse)
						}
					}()
					return clientSide, nil
				}
				tt.act(t, client)
				if dialled.Load() != tt.dialled {
					t.Errorf("%d connections opened, want %d", dialled.Load(), tt.dialled)
				}
				_ = client.Close()
				wait(slow) // until the server goroutines have seen the close
			})
		})
	}
}

// TestClientRemovesUnusedPools calls new peers round after round, as when all
// instances are replaced; the client must not keep the pools of all of them.
func TestClientRemovesUnusedPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(ClientLimits{})
		client.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
			clientSide, server := net.Pipe()
			go func() {
				for readRequest(server) {
					sendText(server, completeResponse)
				}
			}()
			return clientSide, nil
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
		pools := 0
		for i := range client.shards {
			pools += len(client.shards[i].pools)
		}
		if pools > 2*instances {
			t.Errorf("client has %d pools after rounds of %d instances", pools, instances)
		}
		_ = client.Close()
	})
}

// TestSilentConnections has open connections go silent while new ones work. The calls
// after one that timed out must not try the others in turn.
func TestSilentConnections(t *testing.T) {
	const connections = 3
	tests := []struct {
		name    string
		timeout time.Duration
		// usedMeanwhile has the other connections answer calls while the first call waits.
		usedMeanwhile bool
		// silent is how many of the connections are.
		silent int
		// failed is how many calls in a row fail, opened the connections opened in the end.
		failed, opened int32
	}{
		{"all go silent", time.Second, false, connections, 1, connections + 1},
		{"all go silent, a call is given up early", 200 * time.Millisecond, false, connections, connections, connections + 1},
		{"one goes silent, the others are in use", time.Second, true, 1, 1, connections},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var opened, silent atomic.Int32 // silent counts those that still go silent
				client := NewClient(ClientLimits{SilenceTimeout: -1})
				client.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
					clientSide, server := net.Pipe()
					t.Cleanup(func() { _ = server.Close() })
					number := opened.Add(1)
					go func() {
						for quiet := false; readRequest(server); {
							if quiet = quiet || number <= connections && silent.Add(-1) >= 0; quiet {
								continue
							}
							wait(10 * time.Millisecond)
							sendText(server, completeResponse)
						}
					}()
					return clientSide, nil
				}
				callAll := func(count int) {
					var calls sync.WaitGroup
					for range count {
						calls.Go(func() { _, _ = callBody(t, client, test.timeout) })
						synctest.Wait()
					}
					calls.Wait()
				}
				callAll(connections)
				wait(time.Second)
				silent.Store(int32(test.silent))
				failed := int32(0)
				for body := ""; body == ""; {
					if test.usedMeanwhile {
						go func() {
							wait(test.timeout / 2)
							callAll(connections - test.silent)
						}()
					}
					var err error
					if body, err = callBody(t, client, test.timeout); err != nil {
						failed++
					}
				}
				if failed != test.failed || opened.Load() != test.opened {
					t.Errorf("%d calls failed, %d connections opened; want %d, %d", failed, opened.Load(), test.failed, test.opened)
				}
				wait(time.Minute)
				_ = client.Close()
			})
		})
	}
}
