package caller

import (
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/state"
)

const (
	jobsPath = "/v1/jobs"
	// maxJobIDBytes limits the length of a job ID in a path.
	maxJobIDBytes = 256
)

// operation handles the requests with one method and path.
type operation func(s *Service, ctx *fasthttp.RequestCtx)

// route is a path with the methods that it allows.
type route struct {
	path    string
	methods []method
}

type method struct {
	name   string
	handle operation
}

var routes = []route{
	{jobsPath, []method{{fasthttp.MethodPost, submitJob}}},
	{"/v1/manifest", []method{{fasthttp.MethodGet, getManifest}, {fasthttp.MethodPut, applyManifest}}},
	{"/v1/members", []method{{fasthttp.MethodGet, getMembers}}},
	{"/v1/status", []method{{fasthttp.MethodGet, getOverview}}},
	{"/v1/drain", []method{{fasthttp.MethodPost, startDrain}}},
	{"/v1/ready", []method{{fasthttp.MethodGet, getReadiness}}},
	{"/metrics", []method{{fasthttp.MethodGet, getMetrics}}},
}

// jobRoutes are the paths that follow a job's ID.
var jobRoutes = []route{
	{"", []method{{fasthttp.MethodGet, getJob}, {fasthttp.MethodDelete, cancelJob}}},
	{"/answer", []method{{fasthttp.MethodGet, getJobAnswer}}},
	{"/cancel", []method{{fasthttp.MethodPost, cancelJob}}},
}

// Handler returns the handler for all paths of the interface.
func (s *Service) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		candidates := routes
		if jobPath, found := strings.CutPrefix(path, jobsPath+"/"); found {
			candidates = jobRoutes
			path = strings.TrimPrefix(jobPath, string(jobIDInPath(ctx)))
		}
		for _, r := range candidates {
			if r.path == path {
				s.serveRoute(ctx, r)
				return
			}
		}
		s.writeFailure(ctx, statusUnknownPath, failure{reason: state.BadRequest, detail: "unknown path"})
	}
}

func (s *Service) serveRoute(ctx *fasthttp.RequestCtx, r route) {
	allowed := make([]string, 0, len(r.methods))
	for _, m := range r.methods {
		if m.name == string(ctx.Method()) {
			m.handle(s, ctx)
			return
		}
		allowed = append(allowed, m.name)
	}
	ctx.Response.Header.Set(fasthttp.HeaderAllow, strings.Join(allowed, ", "))
	s.writeFailure(ctx, statusMethodNotAllowed, failure{reason: state.BadRequest, detail: "the path allows only " + strings.Join(allowed, ", ")})
}

// jobIDInPath returns the job ID in the request's path, which may be malformed.
func jobIDInPath(ctx *fasthttp.RequestCtx) state.JobID {
	jobPath, _ := strings.CutPrefix(string(ctx.Path()), jobsPath+"/")
	id, _, _ := strings.Cut(jobPath, "/")
	return state.JobID(id)
}

func validateJobID(id state.JobID) error {
	if len(id) > maxJobIDBytes || id.AvailabilityZone() == "" {
		return errors.Errorf("job %q: want an ID of the form zone.serial", id)
	}
	return nil
}
