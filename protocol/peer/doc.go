// Package peer carries calls between entry instances: connect-go's unary
// calls with CBOR messages over HTTP/1.1.
package peer
