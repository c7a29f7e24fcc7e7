package main

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

// phase is a step of a job as clients hand it in.
type phase struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemoryMB     int    `json:"mem_mb"`
	EstimateMs   int64  `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Saves        bool   `json:"saves_progress,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	RackBound    bool   `json:"rack_sensitive,omitempty"`
	Label        string `json:"required_label,omitempty"`
	MaxPerServer int    `json:"max_per_server,omitempty"`
	Persistent   bool   `json:"persistent,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMs     int    `json:"target_ms,omitempty"`
	Fills        bool   `json:"fills,omitempty"`
}

// job is a job of the clients, with what its tasks do.
type job struct {
	ID       string  `json:"-"`
	Spec     string  `json:"spec"`
	Phases   []phase `json:"phases"`
	Times    int     `json:"times,omitempty"`
	StartMs  int64   `json:"start_ms,omitempty"`
	PeriodMs int64   `json:"period_ms,omitempty"`
	// work is how long a task of each step works.
	work []time.Duration
	// acceptedAt and cancelledAt are when the first 2xx for the job and for its cancelling arrived, zero before.
	acceptedAt  time.Time
	cancelledAt time.Time
	// lastState is the latest state that was shown.
	lastState string
}

// ref is a task's name in its parts.
type ref struct {
	job              string
	k, step, ordinal int
}

func (r ref) String() string { return fmt.Sprintf("%s.%d.%d.%d", r.job, r.k, r.step, r.ordinal) }

// stepName is the name of the task's step in its occurrence, ID.K.STEP.
func (r ref) stepName() string { return fmt.Sprintf("%s.%d.%d", r.job, r.k, r.step) }

// taskFields is the number of fields of a task's name.
const taskFields = 4

func parseRef(s string) (ref, bool) {
	p := strings.Split(s, ".")
	if len(p) != taskFields {
		return ref{}, false
	}
	var n [taskFields]int
	for i := 1; i < taskFields; i++ {
		v, err := strconv.Atoi(p[i])
		if err != nil || v < 0 {
			return ref{}, false
		}
		n[i] = v
	}
	return ref{p[0], n[1], n[2], n[3]}, true
}

// phaseOf returns the step of a task, nil if the job has none such.
func (j *job) phaseOf(r ref) *phase {
	if r.step >= len(j.Phases) || r.ordinal >= j.Phases[r.step].Count || r.k >= max(j.Times, 1) {
		return nil
	}
	return &j.Phases[r.step]
}

// savedBy names whose saved values a task may carry: those of its gang, or its own.
func (j *job) savedBy(r ref) string {
	if j.Phases[r.step].Gang {
		return r.stepName()
	}
	return r.String()
}

// savedValue is the saved value of a task or gang at a progress.
func savedValue(owner string, progress time.Duration) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(owner))
	return fmt.Sprintf("%08x%08x", uint32(progress.Milliseconds()), h.Sum32()) //nolint:gosec // days are shorter
}

// savedProgress is the progress of a saved value.
func savedProgress(saved string) time.Duration {
	if len(saved) < 8 {
		return 0
	}
	n, err := strconv.ParseUint(saved[:8], 16, 32)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
