package logs

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

func TestLines(t *testing.T) {
	const prefix = "time=2000-01-01T00:00:00.000Z level=info event=jobStarted"
	tests := []struct {
		name string
		log  func(l zerolog.Logger)
		want string
	}{
		{"event only", func(l zerolog.Logger) { l.Info().Str(EventField, "jobStarted").Send() }, prefix + "\n"},
		{"pairs in order", func(l zerolog.Logger) {
			l.Info().Str("job", "a.1").Str(EventField, "jobStarted").Int("members", 4).Bool("urgent", true).Send()
		}, prefix + " job=a.1 members=4 urgent=true\n"},
		{"quotes where needed", func(l zerolog.Logger) {
			l.Info().Str(EventField, "jobStarted").Str("a", "x y").Str("b", "").Str("c", "k=v").Str("d", "line\nevent=forged").Send()
		}, prefix + ` a="x y" b="" c="k=v" d="line\nevent=forged"` + "\n"},
		{"non-ASCII characters and an escape", func(l zerolog.Logger) {
			l.Info().Str(EventField, "jobStarted").Str("a", "Cuéllar").Str("b", `x\"y`).Str("c", "a,b:c{").Send()
		}, prefix + ` a="Cuéllar" b="x\\\"y" c=a,b:c{` + "\n"},
		{"list", func(l zerolog.Logger) {
			l.Info().Str(EventField, "jobStarted").Strs("a", []string{"x,y", "]"}).Ints("b", []int{1, 2}).Send()
		}, prefix + ` a="[\"x,y\",\"]\"]" b=[1,2]` + "\n"},
		{"error", func(l zerolog.Logger) {
			l.Info().Str(EventField, "jobStarted").Err(errors.New("hold: lost")).Send()
		}, prefix + ` error="hold: lost"` + "\n"},
		{"duration", func(l zerolog.Logger) {
			l.Info().Str(EventField, "jobStarted").Stringer("took", 1500*time.Millisecond).Send()
		}, prefix + " took=1.5s\n"},
		{"below the level", func(l zerolog.Logger) { l.Debug().Str(EventField, "jobStarted").Send() }, ""},
		{"fields of the logger", func(l zerolog.Logger) {
			l = l.With().Str("zone", "a").Logger()
			l.Info().Str(EventField, "jobStarted").Send()
		}, prefix + " zone=a\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				tt.log(New(&out, zerolog.InfoLevel))
				if out.String() != tt.want {
					t.Errorf("got  %swant %s", out.String(), tt.want)
				}
			})
		})
	}
}

func TestParseLevel(t *testing.T) {
	tests := []struct {
		name  string
		valid bool
	}{{"debug", true}, {"error", true}, {"loud", false}, {"", false}, {"panic", false}}
	for _, tt := range tests {
		if _, err := ParseLevel(tt.name); (err == nil) != tt.valid || err != nil && !strings.Contains(err.Error(), "want debug") {
			t.Errorf("ParseLevel(%q): %v", tt.name, err)
		}
	}
}

func BenchmarkEvent(b *testing.B) {
	logger := New(io.Discard, zerolog.InfoLevel)
	b.ReportAllocs()
	for b.Loop() {
		logger.Info().Str(EventField, "jobStarted").Str("job", "zone-a.17ce8ee21fed9ecc").Int("attempt", 1).Str("detail", "two words").Send()
	}
}
