package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

const callTimeout = 3 * time.Second

// caller is the clients of one tenant.
type caller struct {
	record *record
	host   string
	key    string
}

// step is a step of a job.
type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu,omitempty"`
	Memory   int    `json:"mem_mb,omitempty"`
	GPU      int    `json:"gpu,omitempty"`
	Estimate int64  `json:"estimate_ms,omitempty"`
	Requires string `json:"requires,omitempty"`
	DataRack string `json:"data_rack,omitempty"`
	Spread   int    `json:"max_per_server,omitempty"`
	Lasts    bool   `json:"persistent,omitempty"`
	MayMiss  int    `json:"may_miss,omitempty"`
	Image    string `json:"image,omitempty"`
}

type jobBody struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// send makes one call and returns the status, 0 for none, and the body.
func (c *caller) send(n *node, method, path string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil
	}
	request.Host = c.host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Comfreystream-Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.record.line("client: %s %s at %s -> no answer", method, path, n.name)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	got, _ := io.ReadAll(response.Body)
	c.record.line("client: %s %s at %s %s -> %d %s", method, path, n.name, clip(text), response.StatusCode, clip(got))
	return response.StatusCode, got
}

func clip(text []byte) string {
	const most = 200
	short := strings.TrimSpace(string(text))
	if len(short) > most {
		return short[:most] + "..."
	}
	return short
}

// submit hands a job in, again after no answer, a 502, 503 or 504, and returns when it was accepted.
func (c *caller) submit(n *node, path string, body jobBody) (accepted time.Time, ok bool) {
	for range 5 {
		if status, _ := c.send(n, http.MethodPost, path, body); status/100 == 2 {
			return time.Now(), true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return time.Time{}, false
}

// pending returns the queue's number of waiting jobs as the node gives it.
func (c *caller) pending(n *node, prefix string) (count int, given bool) {
	status, text := c.send(n, http.MethodGet, prefix, nil)
	var body struct {
		Pending *int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(text, &body) != nil || body.Pending == nil {
		return 0, false
	}
	return *body.Pending, true
}

// state returns a job's state as the node gives it.
func (c *caller) state(n *node, path string) string {
	var body struct {
		State string `json:"state"`
	}
	_, text := c.send(n, http.MethodGet, path, nil)
	_ = json.Unmarshal(text, &body)
	return body.State
}
