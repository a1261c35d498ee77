// Package transport exchanges HTTP/1.1 requests and responses over TCP, and
// datagrams over UDP. It handles connections, limits and deadlines, and does
// not know what the messages mean.
//
// A Server accepts connections with gnet, parses requests with fasthttp and
// runs the handlers on a pool of goroutines. A Client keeps a pool of
// connections to each peer. While a handler runs, the server can send interim
// responses as heartbeats, so that the client can tell a slow peer from a dead one.
package transport
