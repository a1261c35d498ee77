package caller

import (
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"comfreystream/state"
)

const (
	jobsPath = "/v1/jobs"
	// maxJobIDBytes bounds a job's identity in a path.
	maxJobIDBytes = 256
)

// operation is what one method on one path does.
type operation func(s *Service, ctx *fasthttp.RequestCtx)

// route is a path with the methods that it takes.
type route struct {
	path    string
	methods []method
}

type method struct {
	name string
	run  operation
}

var routes = []route{
	{jobsPath, []method{{fasthttp.MethodPost, submit}}},
	{"/v1/manifest", []method{{fasthttp.MethodGet, showManifest}, {fasthttp.MethodPut, applyManifest}}},
	{"/v1/members", []method{{fasthttp.MethodGet, showMembers}}},
	{"/v1/status", []method{{fasthttp.MethodGet, showOverview}}},
	{"/v1/drain", []method{{fasthttp.MethodPost, drain}}},
	{"/v1/ready", []method{{fasthttp.MethodGet, showReady}}},
	{"/metrics", []method{{fasthttp.MethodGet, showMetrics}}},
}

// jobRoutes are the paths below one job.
var jobRoutes = []route{
	{"", []method{{fasthttp.MethodGet, showJob}, {fasthttp.MethodDelete, cancelJob}}},
	{"/answer", []method{{fasthttp.MethodGet, showAnswer}}},
	{"/cancel", []method{{fasthttp.MethodPost, cancelJob}}},
}

// Handler returns the handler for all paths of the interface.
func (s *Service) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		list := routes
		if below, found := strings.CutPrefix(path, jobsPath+"/"); found {
			list = jobRoutes
			path = strings.TrimPrefix(below, string(jobOf(ctx)))
		}
		for _, r := range list {
			if r.path == path {
				s.run(ctx, r)
				return
			}
		}
		s.fail(ctx, noSuchPath, failure{reason: state.BadRequest, detail: "unknown path"})
	}
}

func (s *Service) run(ctx *fasthttp.RequestCtx, r route) {
	allowed := make([]string, 0, len(r.methods))
	for _, m := range r.methods {
		if m.name == string(ctx.Method()) {
			m.run(s, ctx)
			return
		}
		allowed = append(allowed, m.name)
	}
	ctx.Response.Header.Set(fasthttp.HeaderAllow, strings.Join(allowed, ", "))
	s.fail(ctx, noSuchMethod, failure{reason: state.BadRequest, detail: "the path takes " + strings.Join(allowed, ", ")})
}

// jobOf returns the job that the path names.
func jobOf(ctx *fasthttp.RequestCtx) state.JobID {
	below, _ := strings.CutPrefix(string(ctx.Path()), jobsPath+"/")
	id, _, _ := strings.Cut(below, "/")
	return state.JobID(id)
}

func checkJob(id state.JobID) error {
	if len(id) > maxJobIDBytes || id.AvailabilityZone() == "" {
		return errors.Errorf("job %q: the identity has the form zone.serial", id)
	}
	return nil
}
