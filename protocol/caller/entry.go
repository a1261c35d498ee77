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

func getMembers(s *Service, ctx *fasthttp.RequestCtx) {
	members := s.Members()
	body := membersBody{Members: make([]memberBody, 0, len(members))}
	for _, m := range members {
		body.Members = append(body.Members, memberBody{
			Address: m.Address, AvailabilityZone: m.AvailabilityZone,
			Started: m.Incarnation.Started().UTC(), Generation: m.Advert.Generation,
		})
	}
	writeJSON(ctx, fasthttp.StatusOK, body)
}

func getOverview(s *Service, ctx *fasthttp.RequestCtx) {
	overview, err := s.Overview(transport.ConnectionContext(ctx))
	if err != nil {
		s.writeFailure(ctx, statusByReason, newFailure(err))
		return
	}
	ctx.SetContentType(contentType)
	ctx.SetBody(overview)
}

func startDrain(s *Service, ctx *fasthttp.RequestCtx) {
	if err := s.Drain(); err != nil {
		s.writeFailure(ctx, statusByReason, newFailure(err))
		return
	}
	writeJSON(ctx, fasthttp.StatusAccepted, drainingBody{Draining: true})
}

func getReadiness(s *Service, ctx *fasthttp.RequestCtx) {
	if err := s.Ready(); err != nil {
		f := newFailure(err)
		s.writeFailure(ctx, fasthttp.StatusServiceUnavailable, f)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, readyBody{Ready: true})
}

func getMetrics(s *Service, ctx *fasthttp.RequestCtx) { s.Metrics(ctx) }
