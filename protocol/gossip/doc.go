// Package gossip sends and receives membership messages as UDP datagrams. They
// are CBOR maps with integer keys, so that a later version can add fields.
package gossip
