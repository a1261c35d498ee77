package peer

import (
	"comfreystream/state"
	"context"
	"net/http"
	"net/netip"
)

const (
	stepPushManifest  = "pushManifest"
	stepFetchManifest = "fetchManifest"
)

type wireManifest struct {
	Generation state.Generation `cbor:"1,keyasint"`
	Digest     uint64           `cbor:"2,keyasint"`
	Parts      [][]byte         `cbor:"3,keyasint,omitempty"`
}

type fetchRequest struct {
	NewerThan state.Generation `cbor:"1,keyasint,omitempty"`
}

type manifestCalls struct {
	push  procedure[wireManifest, none]
	fetch procedure[fetchRequest, wireManifest]
}

func (s *Service) handleManifest(mux *http.ServeMux) {
	handle(mux, stepPushManifest, func(ctx context.Context, w wireManifest) (none, error) {
		return none{}, s.PushManifest(ctx, Manifest(w))
	})
	handle(mux, stepFetchManifest, func(ctx context.Context, r fetchRequest) (wireManifest, error) {
		manifest, err := s.FetchManifest(ctx, r.NewerThan)
		return wireManifest(manifest), err
	})
}

// PushManifest gives the peer a manifest that is in force here.
func (c *Client) PushManifest(ctx context.Context, peer netip.AddrPort, manifest Manifest) error {
	_, err := c.manifest.push.ask(ctx, peer, wireManifest(manifest))
	return err
}

// FetchManifest returns the peer's manifest, without parts if it is not newer.
func (c *Client) FetchManifest(ctx context.Context, peer netip.AddrPort, newerThan state.Generation) (Manifest, error) {
	manifest, err := c.manifest.fetch.ask(ctx, peer, fetchRequest{NewerThan: newerThan})
	return Manifest(manifest), err
}
