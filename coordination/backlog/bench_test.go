package backlog_test

import (
	"testing"
	"time"

	"comfreystream/coordination/backlog"
)

// BenchmarkEstimate estimates the waits of a full service with 2,800 running and 5,000
// waiting groups of 60 classes, which a planner does each second.
func BenchmarkEstimate(b *testing.B) {
	s := backlog.Service{Name: "render", Accelerators: 2800}
	for i := range 2800 {
		s.Running = append(s.Running, backlog.Run{Priority: i % 3, Accelerators: 1, Left: time.Duration(i%97) * 100 * time.Millisecond})
	}
	var waiting []backlog.Group
	for i := range 5000 {
		member := 1 << (i % 4)
		objective := time.Duration(4+i%17) * time.Second
		waiting = append(waiting, backlog.Group{
			Priority: i % 3, Member: member, Total: member * (1 + i%5), RunTime: time.Duration(1+i%7) * time.Second, Estimate: time.Duration(1+i%7) * time.Second,
			Objective: objective, Deadline: objective - time.Duration(i%40)*time.Second/2, Late: i%40 > 20,
		})
	}
	for b.Loop() {
		load := s
		load.Waiting = append([]backlog.Group(nil), waiting...)
		backlog.Estimate(&load)
	}
}
