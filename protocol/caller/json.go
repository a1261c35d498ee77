package caller

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const contentType = "application/json"

// duration is encoded in JSON as a string such as "1.5s".
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("invalid duration %q, want a value such as \"1.5s\"", text)
	}
	*d = duration(value)
	return nil
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentType)
	ctx.SetBody(text)
}
