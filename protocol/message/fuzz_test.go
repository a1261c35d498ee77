package message

import (
	"testing"

	"github.com/valyala/fasthttp"

	"comfreystream/protocol/body"
)

// FuzzHandle checks that any body gets a response that the client can decode.
func FuzzHandle(f *testing.F) {
	for _, seed := range []string{
		`{"Text":"a","Wait":1}`, `{"Text":"refused"}`, `{"Text":"untyped"}`, `{"Colour":1}`, `{}{}`, `null`, ``, "\xff",
	} {
		f.Add(seed)
	}
	handle := Handle(Limits{BodyBytes: 200}, echo)
	f.Fuzz(func(t *testing.T, sent string) {
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI("/ask")
		ctx.Request.SetBodyString(sent)
		handle(&ctx)
		text := ctx.Response.Body()
		if ctx.Response.StatusCode() == fasthttp.StatusOK {
			var value echoResponse
			if err := body.Decode(text, &value); err != nil {
				t.Errorf("%s: %v", text, err)
			}
			return
		}
		var failed errorBody
		if err := body.Decode(text, &failed); err != nil || failed.Reason == "" || failed.Step == "" {
			t.Errorf("%s: %v", text, err)
		}
	})
}
