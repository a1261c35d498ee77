// Package gossip carries the messages of membership in datagrams, encoded as
// CBOR maps with small integer keys, so that versions can add fields.
package gossip
