package admission

import (
	"testing"
	"time"

	"comfreystream/state"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func manifest(generation state.Generation, organisations ...state.Organisation) *state.Manifest {
	return &state.Manifest{Generation: generation, Organisations: organisations}
}

func TestAdmit(t *testing.T) {
	fill := func(percent int) QueueView { return QueueView{Jobs: percent} }
	fillOverShare := func(percent int) QueueView { return QueueView{Jobs: percent, Share: 0.5, FairShare: 0.25} }
	jobDueIn := func(after time.Duration) state.Job {
		return state.Job{Organisation: "andina", Urgency: state.Urgent, Deadline: start.Add(after)}
	}
	jobOf := func(urgency state.Urgency) state.Job { return state.Job{Organisation: "andina", Urgency: urgency} }
	tests := []struct {
		name  string
		job   state.Job
		queue QueueView
		want  state.Reason
	}{
		{"empty queue", jobOf(state.Overnight), fill(0), ""},
		{"unknown organisation", state.Job{Organisation: "nobody"}, fill(0), state.UnknownOrganisation},
		{"deadline passed", jobDueIn(0), fill(0), state.DeadlinePassed},
		{"deadline within the wait", jobDueIn(time.Minute), QueueView{Wait: 2 * time.Minute}, state.DeadlineTooClose},
		{"deadline within wait and run time", jobDueIn(time.Minute), QueueView{Wait: 40 * time.Second, RunTime: 40 * time.Second}, state.DeadlineTooClose},
		{"deadline can be met", jobDueIn(time.Minute), QueueView{Wait: 20 * time.Second, RunTime: 40 * time.Second}, ""},
		{"overnight, over share, below its limit", jobOf(state.Overnight), fillOverShare(59), ""},
		{"overnight, over share", jobOf(state.Overnight), fillOverShare(60), state.ShedByShare},
		{"overnight, within share", jobOf(state.Overnight), fill(69), ""},
		{"overnight, queue at its limit", jobOf(state.Overnight), fill(70), state.ShedByUrgency},
		{"normal when overnight is shed", jobOf(state.Normal), fillOverShare(74), ""},
		{"normal, over share", jobOf(state.Normal), fillOverShare(75), state.ShedByShare},
		{"normal, within share", jobOf(state.Normal), fill(84), ""},
		{"normal, queue at its limit", jobOf(state.Normal), fill(85), state.ShedByUrgency},
		{"urgent when normal is shed", jobOf(state.Urgent), fillOverShare(89), ""},
		{"urgent, over share", jobOf(state.Urgent), fillOverShare(90), state.ShedByShare},
		{"urgent, within share", jobOf(state.Urgent), fill(94), ""},
		{"urgent, queue at its limit", jobOf(state.Urgent), fill(95), state.ShedByUrgency},
		{"within guarantee when all else is shed", jobOf(state.Overnight), QueueView{Jobs: 99, WithinGuarantee: true}, ""},
		{"queue full", jobOf(state.Urgent), QueueView{Jobs: 100, WithinGuarantee: true}, state.QueueFull},
		{"organisation has reached its queue limit", jobOf(state.Urgent), QueueView{Jobs: 40, OrganisationJobs: 40}, state.QueueFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			counted := make(map[state.Reason]int)
			a := New(Settings{QueueJobs: 100, OrganisationQueueJobs: 40}, func() time.Time { return start }, func(r state.Reason) { counted[r]++ })
			a.Apply(manifest(1, state.Organisation{Name: "andina"}))
			if got := a.Admit(&tt.job, tt.queue); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if want := map[bool]int{true: 1}[tt.want != ""]; counted[tt.want] != want || len(counted) != want {
				t.Errorf("counted %v, want %d of %q", counted, want, tt.want)
			}
		})
	}
}

func TestRateFollowsManifest(t *testing.T) {
	limited := func(burst int, perSecond float64) state.Organisation {
		return state.Organisation{Name: "andina", BurstJobs: burst, JobsPerSecond: perSecond}
	}
	tests := []struct {
		name   string
		first  *state.Manifest
		used   int
		after  time.Duration
		then   *state.Manifest
		want   int
		reason state.Reason
	}{
		{"no manifest", nil, 0, 0, nil, 0, state.NoManifest},
		{"no limit", manifest(1, limited(0, 0)), 50, 0, nil, 50, ""},
		{"burst", manifest(1, limited(5, 1)), 0, 0, nil, 5, state.OverBurst},
		{"rate after the burst", manifest(1, limited(5, 1)), 50, 3 * time.Second, nil, 3, state.OverBurst},
		{"rate without a burst", manifest(1, limited(0, 1)), 50, 3 * time.Second, nil, 1, state.OverBurst},
		{"unchanged limits give no new burst", manifest(1, limited(5, 1)), 50, 0, manifest(2, limited(5, 1)), 0, state.OverBurst},
		{"raised rate", manifest(1, limited(5, 1)), 50, 0, manifest(2, limited(5, 0)), 50, ""},
		{"older manifest is ignored", manifest(2, limited(5, 1)), 0, 0, manifest(1, limited(50, 0)), 5, state.OverBurst},
		{"organisation removed", manifest(1, limited(5, 1)), 0, 0, manifest(2), 0, state.UnknownOrganisation},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := start
			a := New(DefaultSettings(), func() time.Time { return now }, func(state.Reason) {})
			if tt.first != nil {
				a.Apply(tt.first)
			}
			job := state.Job{Organisation: "andina"}
			for range tt.used {
				a.Admit(&job, QueueView{})
				// A shed job does not use up the rate.
				a.Admit(&job, QueueView{Jobs: DefaultSettings().QueueJobs})
			}
			now = now.Add(tt.after)
			if tt.then != nil {
				a.Apply(tt.then)
			}
			admitted := 0
			var reason state.Reason
			for range 50 {
				if reason = a.Admit(&job, QueueView{}); reason == "" {
					admitted++
				}
			}
			if admitted != tt.want || reason != tt.reason {
				t.Errorf("%d of 50 admitted, the last %q; want %d, %q", admitted, reason, tt.want, tt.reason)
			}
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	a := New(DefaultSettings(), time.Now, func(state.Reason) {})
	a.Apply(manifest(1, state.Organisation{Name: "andina", BurstJobs: 1 << 30, JobsPerSecond: 1 << 30}))
	job := state.Job{Organisation: "andina", Urgency: state.Urgent, Deadline: time.Now().Add(24 * time.Hour)}
	queue := QueueView{Jobs: 5000, Wait: time.Second, Share: 0.5, FairShare: 0.25}
	b.ReportAllocs()
	for b.Loop() {
		if reason := a.Admit(&job, queue); reason != "" {
			b.Fatal(reason)
		}
	}
}
