package main

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"comfreystream/transport"
)

// TestCheck runs the command as a pipeline does. It guards against a file with errors that
// passes, a check that did not happen and passes, and findings without their place.
func TestCheck(t *testing.T) {
	const organisation = `{"format": 1, "weights": {"completionTime": 1, "fragmentation": 0}, "organisations": [` + "\n" + `{"name": "north", "share": 2`
	server, err := transport.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString(`{"generation": 41, ` + organisation[1:] + "}]}")
	}, transport.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	closed, err := transport.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(*fasthttp.RequestCtx) {}, transport.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	away := closed.Address().String()
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	sound := write("sound", organisation+"}]}")
	share := write("share", strings.Replace(organisation, "2", "3", 1)+"}]}")
	stale := write("stale", `{"generation": 40, `+organisation[1:]+"}]}")
	guarantee := write("guarantee", organisation+`,`+"\n"+`"guarantees": [{"availabilityZone": "texas-1", "members": 99, "shape": {"slots": 8}}]}]}`)
	zones := write("zones", strings.Replace(organisation, `"organisations"`, "\"evacuated\": [\"texas-9\",\n\"texas-1\"], \"organisations\"", 1)+"}]}")
	broken := write("broken", organisation+`, "quotas": 1}]}`)
	policy, err := os.ReadFile("docs/examples/platform.json")
	if err != nil {
		t.Fatal(err)
	}
	attempts := write("attempts", strings.Replace(string(policy), `"max_attempts": 4`, `"max_attempts": 0`, 1))
	typed := write("typed", strings.Replace(string(policy), `"max_attempts": 4`, `"max_attempts": "4"`, 1))
	inForce := []string{"--in-force", "--entry", server.Address().String()}
	tests := []struct {
		name      string
		arguments []string
		status    int
		want      string
	}{
		{"sound", []string{sound}, 0, "well-formed manifest"},
		{"unknown field", []string{broken}, 1, "broken:2:31: organisations[0].quotas: "},
		{"no file", []string{sound + "0"}, 2, "no such file"},
		{"workers", []string{"--workers", "docs/examples/texas.workers.jsonc", guarantee}, 1, "guarantee:3:59: organisations[0].guarantees[0].members: "},
		{"zone without workers, listed first", []string{"--workers", "docs/examples/texas.workers.jsonc", zones}, 0, "zones:1:83: evacuated[0]: "},
		{"unreadable workers", []string{"--workers", broken, guarantee}, 2, "read the workers"},
		{"the same in force", append(inForce, sound), 0, "well-formed"},
		{"another in force", append(inForce, share), 0, "differs: organisations[north].share: in force 2, file 3"},
		{"an older generation", append(inForce, stale), 1, "generation 41 is in force"},
		{"entry that is away", []string{"--in-force", "--entry", away, sound}, 2, "read the manifest in force"},
		{"against a broken file", []string{"--against", broken, sound}, 2, "quotas"},
		{"flag without a use", []string{"--kind", "platform", "--in-force", sound}, 2, "--against"},
		{"settings", []string{"--kind", "settings", "docs/examples/entry-a.json"}, 0, "well-formed settings"},
		{"invalid settings", []string{"--kind", "settings", broken}, 1, "format"},
		{"platform", []string{"--kind", "platform", "--workers", "docs/examples/platform-workers.json", "docs/examples/platform.json"}, 0, "well-formed platform"},
		{"platform, no attempts", []string{"--kind", "platform", attempts}, 1, "attempts:8:84: routes[1].max_attempts: is 0"},
		{"platform, wrong type", []string{"--kind", "platform", typed}, 1, "typed:8:86: routes.max_attempts: is a JSON string"},
		{"platform, difference", []string{"--kind", "platform", "--against", "docs/examples/platform.json", attempts}, 1, "differs: routes[prints].max_attempts: in force 4, file 0"},
		{"platform, version in force", []string{"--kind", "platform", "--against", "docs/examples/platform.json", attempts}, 1, "attempts:2:14: version: is 8"},
		{"example", []string{"--workers", "docs/examples/texas.workers.jsonc", "docs/examples/texas.manifest.jsonc"}, 0, "well-formed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var results, diagnostics bytes.Buffer
			status := run(append([]string{"check"}, test.arguments...), &results, &diagnostics)
			if printed := results.String() + diagnostics.String(); status != test.status || !strings.Contains(printed, test.want) {
				t.Errorf("status %d, want %d; printed %s\nwant %s", status, test.status, printed, test.want)
			}
		})
	}
	t.Run("JSON", func(t *testing.T) {
		var results, diagnostics bytes.Buffer
		status := run([]string{"check", "--json", "--against", sound, "--workers", "docs/examples/texas.workers.jsonc", guarantee}, &results, &diagnostics)
		var report checkReport
		if err := json.Unmarshal(results.Bytes(), &report); err != nil || status != 1 {
			t.Fatal(status, err, results.String())
		}
		if len(report.Findings) != 2 || report.Findings[1].Line != 3 || len(report.Differences) != 1 {
			t.Errorf("%+v", report)
		}
	})
}
