// Package peer implements the calls between entry instances: unary connect-go
// procedures with CBOR messages over HTTP/1.1.
package peer
