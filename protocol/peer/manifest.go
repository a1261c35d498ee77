package peer

import (
	"context"
	"net/http"
	"net/netip"

	"comfreystream/coordination/rollout"
	"comfreystream/state"
)

const (
	stepPushManifest  = "pushManifest"
	stepFetchManifest = "fetchManifest"
)

type wireUpdate struct {
	Generation     state.Generation `cbor:"1,keyasint"`
	Digest         uint64           `cbor:"2,keyasint"`
	CompletionTime float64          `cbor:"3,keyasint"`
	Fragmentation  float64          `cbor:"4,keyasint"`
	Since          state.Generation `cbor:"5,keyasint,omitempty"`
	Parts          []wirePart       `cbor:"6,keyasint,omitempty"`
	Evacuated      []string         `cbor:"7,keyasint,omitempty"`
}

type wirePart struct {
	Name    string           `cbor:"1,keyasint"`
	Changed state.Generation `cbor:"2,keyasint"`
	Body    []byte           `cbor:"3,keyasint,omitempty"`
}

type wireManifestVersion struct {
	Generation state.Generation `cbor:"1,keyasint,omitempty"`
	Digest     uint64           `cbor:"2,keyasint,omitempty"`
}

type manifestCalls struct {
	push  procedure[wireUpdate, wireManifestVersion]
	fetch procedure[wireManifestVersion, wireUpdate]
}

func (s *Service) handleManifest(mux *http.ServeMux) {
	handle(mux, stepPushManifest, func(ctx context.Context, w wireUpdate) (wireManifestVersion, error) {
		version, err := s.PushManifest(ctx, w.update())
		return wireManifestVersion(version), err
	})
	handle(mux, stepFetchManifest, func(ctx context.Context, w wireManifestVersion) (wireUpdate, error) {
		update, err := s.FetchManifest(ctx, rollout.ManifestID(w))
		return toWireUpdate(update), err
	})
}

// PushManifest sends the peer a manifest update and returns the version that the
// peer has in force afterwards.
func (c *Client) PushManifest(ctx context.Context, peer netip.AddrPort, update rollout.Update) (rollout.ManifestID, error) {
	version, err := c.manifest.push.call(ctx, peer, toWireUpdate(update))
	return rollout.ManifestID(version), err
}

// FetchManifest asks the peer for the update from the version that this entry
// has to the one that the peer has in force.
func (c *Client) FetchManifest(ctx context.Context, peer netip.AddrPort, version rollout.ManifestID) (rollout.Update, error) {
	w, err := c.manifest.fetch.call(ctx, peer, wireManifestVersion(version))
	return w.update(), err
}

func toWireUpdate(u rollout.Update) wireUpdate {
	return wireUpdate{
		Generation: u.Generation, Digest: u.Digest,
		CompletionTime: u.Weights.CompletionTime, Fragmentation: u.Weights.Fragmentation,
		Evacuated: u.Evacuated, Since: u.Since, Parts: convert(u.Parts, func(p rollout.Part) wirePart { return wirePart(p) }),
	}
}

func (w wireUpdate) update() rollout.Update {
	return rollout.Update{
		Generation: w.Generation, Digest: w.Digest,
		Weights:   state.Weights{CompletionTime: w.CompletionTime, Fragmentation: w.Fragmentation},
		Evacuated: w.Evacuated, Since: w.Since, Parts: convert(w.Parts, func(p wirePart) rollout.Part { return rollout.Part(p) }),
	}
}
