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

// appliedBody answers a manifest that was accepted.
type appliedBody struct {
	Generation  state.Generation `json:"generation"`
	InForce     []netip.AddrPort `json:"inForce"`
	Unreachable []netip.AddrPort `json:"unreachable"`
}

func showManifest(s *Service, ctx *fasthttp.RequestCtx) {
	generation, file, err := s.Manifest(transport.Context(ctx))
	if err != nil {
		s.fail(ctx, byReason, failureOf(err))
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, entityTag(generation))
	ctx.SetContentType(contentType)
	ctx.SetBody(file)
}

// applyManifest takes the file as it is; If-Match names the generation that
// it must replace.
func applyManifest(s *Service, ctx *fasthttp.RequestCtx) {
	change := Change{File: append([]byte(nil), ctx.PostBody()...)}
	if tag := string(ctx.Request.Header.Peek(fasthttp.HeaderIfMatch)); tag != "" {
		generation, err := parseEntityTag(tag)
		if err != nil {
			s.fail(ctx, byReason, badRequest(err))
			return
		}
		change.Conditional, change.Expected = true, generation
	}
	applied, err := s.Apply(transport.Context(ctx), change)
	if err != nil {
		f := failureOf(err)
		f.generation = applied.Generation
		s.fail(ctx, byReason, f)
		return
	}
	ctx.Response.Header.Set(fasthttp.HeaderETag, entityTag(applied.Generation))
	answer(ctx, fasthttp.StatusOK, appliedBody{
		Generation: applied.Generation, InForce: orEmpty(applied.InForce), Unreachable: orEmpty(applied.Unreachable),
	})
}

func entityTag(generation state.Generation) string {
	return strconv.Quote(strconv.FormatUint(uint64(generation), 10))
}

func parseEntityTag(tag string) (state.Generation, error) {
	generation, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, errors.Errorf("If-Match: is %s; want a generation such as \"7\"", tag)
	}
	return state.Generation(generation), nil
}

func orEmpty(addresses []netip.AddrPort) []netip.AddrPort {
	if addresses == nil {
		return []netip.AddrPort{}
	}
	return addresses
}
