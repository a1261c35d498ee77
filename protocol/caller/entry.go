package caller

import (
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"comfreystream/state"
	"comfreystream/transport"
)

type membersBody struct {
	Members []memberBody `json:"members"`
}

type memberBody struct {
	Address          netip.AddrPort   `json:"address"`
	AvailabilityZone string           `json:"availabilityZone"`
	Started          time.Time        `json:"started"`
	Generation       state.Generation `json:"generation"`
}

type readyBody struct {
	Ready bool `json:"ready"`
}

type drainingBody struct {
	Draining bool `json:"draining"`
}

func showMembers(s *Service, ctx *fasthttp.RequestCtx) {
	members := s.Members()
	body := membersBody{Members: make([]memberBody, 0, len(members))}
	for _, m := range members {
		body.Members = append(body.Members, memberBody{
			Address: m.Address, AvailabilityZone: m.AvailabilityZone,
			Started: m.Incarnation.Started().UTC(), Generation: m.Advert.Generation,
		})
	}
	answer(ctx, fasthttp.StatusOK, body)
}

func showOverview(s *Service, ctx *fasthttp.RequestCtx) {
	overview, err := s.Overview(transport.Context(ctx))
	if err != nil {
		s.fail(ctx, byReason, failureOf(err))
		return
	}
	ctx.SetContentType(contentType)
	ctx.SetBody(overview)
}

func drain(s *Service, ctx *fasthttp.RequestCtx) {
	if err := s.Drain(); err != nil {
		s.fail(ctx, byReason, failureOf(err))
		return
	}
	answer(ctx, fasthttp.StatusAccepted, drainingBody{Draining: true})
}

func showReady(s *Service, ctx *fasthttp.RequestCtx) {
	if err := s.Ready(); err != nil {
		f := failureOf(err)
		s.fail(ctx, fasthttp.StatusServiceUnavailable, f)
		return
	}
	answer(ctx, fasthttp.StatusOK, readyBody{Ready: true})
}

func showMetrics(s *Service, ctx *fasthttp.RequestCtx) { s.Metrics(ctx) }
