package settings

import (
	"strings"
	"testing"
)

const valid = `{
  // one entry of the zone
  "availabilityZone": "costa-1",
  "address": "127.0.0.1:7070",
  "store": "127.0.0.1:7300",
  "instanceList": "127.0.0.1:7400",
}`

func TestDecode(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     string
	}{
		{"valid with comments", "", "", ""},
		{"unknown field", `"store"`, `"stor"`, `s.json:5:3: stor: is an unknown field; remove it`},
		{"missing field", `"store": "127.0.0.1:7300",`, ``, `has no "store"; add "store"`},
		{"host name in place of an IP address", "127.0.0.1:7300", "store:7300", `s.json:5:12: store: "store:7300" is not an address; write an IP address and a port`},
		{"no port", `"127.0.0.1:7070"`, `"127.0.0.1"`, `address: "127.0.0.1" is not an address`},
		{"empty address", `"127.0.0.1:7300"`, `""`, `store: "" is not an address`},
		{"port 0", "127.0.0.1:7300", "127.0.0.1:0", `store: "127.0.0.1:0" is not an address`},
		{"bad zone", "costa-1", "Costa 1", `availabilityZone: "Costa 1" is not a valid name`},
		{"bad duration", `"store"`, `"drainLimit": "30", "store"`, `drainLimit: is not a valid duration; write a duration`},
		{"bad log level", `"store"`, `"logLevel": "loud", "store"`, `logLevel: "loud" is not a valid value; use one of debug`},
		{"not JSON", "{", "", "s.json:"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode("s.json", []byte(strings.Replace(valid, tt.old, tt.new, 1)))
			if tt.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v; want %q", err, tt.want)
			}
		})
	}
}

// FuzzDecode checks that any file is either rejected with a message or gives
// settings with which an entry can start.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"availabilityZone": "a", "address": "[::1]:1", "store": "1.2.3.4:5", "instanceList": "1.2.3.4:5", "seeds": ["x"]}`))
	f.Add([]byte(`{"drainLimit": "1e9h", "connections": -1, "bodyBytes": 1e99}`))
	f.Add([]byte("[{]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode("s.json", data)
		if err != nil {
			if err.Error() == "" {
				t.Error("rejected without a message")
			}
			return
		}
		if s.AvailabilityZone == "" || !s.Address.IsValid() || !s.Store.IsValid() || !s.InstanceList.IsValid() || s.DrainLimit <= 0 || s.Connections < 1 || s.BodyBytes < 1 {
			t.Errorf("settings %+v", s)
		}
	})
}
