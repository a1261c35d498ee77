package caller

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/state"
	"comfreystream/transport"
)

// appliedBody is the response to an accepted manifest.
type appliedBody struct {
	Generation  state.Generation `json:"generation"`
	InForce     []netip.AddrPort `json:"inForce"`
	Unreachable []netip.AddrPort `json:"unreachable"`
}

func getManifest(s *Service, ctx *fasthttp.RequestCtx) {
	generation, file, err := s.Manifest(transport.ConnectionContext(ctx))
	if err != nil {
		s.writeFailure(ctx, statusByReason, newFailure(err))
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, entityTag(generation))
	ctx.SetContentType(contentType)
	ctx.SetBody(file)
}

// applyManifest passes the body on unparsed. A generation in If-Match makes the
// change conditional: it must replace that generation.
func applyManifest(s *Service, ctx *fasthttp.RequestCtx) {
	change := ManifestChange{File: append([]byte(nil), ctx.PostBody()...)}
	if tag := string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)); tag != "" {
		generation, err := parseEntityTag(tag)
		if err != nil {
			s.writeFailure(ctx, statusByReason, newBadRequest(err))
			return
		}
		change.Conditional, change.Expected = true, generation
	}
	applied, err := s.Apply(transport.ConnectionContext(ctx), change)
	if err != nil {
		f := newFailure(err)
		f.generation = applied.Generation
		s.writeFailure(ctx, statusByReason, f)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, entityTag(applied.Generation))
	writeJSON(ctx, fasthttp.StatusOK, appliedBody{
		Generation: applied.Generation, InForce: nonNil(applied.InForce), Unreachable: nonNil(applied.Unreachable),
	})
}

func entityTag(generation state.Generation) string {
	return strconv.Quote(strconv.FormatUint(uint64(generation), 10))
}

func parseEntityTag(tag string) (state.Generation, error) {
	generation, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, errors.Errorf("If-Match: got %s, want a generation such as \"7\"", tag)
	}
	return state.Generation(generation), nil
}

// nonNil makes an empty list encode as [] instead of null.
func nonNil(addresses []netip.AddrPort) []netip.AddrPort {
	if addresses == nil {
		return []netip.AddrPort{}
	}
	return addresses
}
