package main

import (
	"bytes"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"currantknot.dev/currantknot/internal/dispatch"
	"currantknot.dev/currantknot/internal/jobs"
	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/internal/operator"
	"currantknot.dev/currantknot/pkg/document"
)

func TestPrintStatus(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, printStatus(&b, operator.Status{
		Instance: "entry-1", DocumentNext: 12, ConfirmedAgo: 40 * time.Millisecond, Blocked: "log entry has format version 2",
		Instances: []operator.InstanceStatus{
			{Name: "entry-1", Domain: "thamel", DocumentNext: 12, Shards: []int{0}},
			{Name: "entry-2", Domain: "lalitpur", DocumentNext: 11, SeenAgo: 300 * time.Millisecond, Leaving: true},
		},
		Domains: []operator.DomainStatus{
			{Name: "thamel", Region: "bagmati", Instances: 2},
			{Name: "lalitpur", Region: "bagmati", Instances: 3, OutOfService: true, Reason: "power work"},
		},
		Shards: []operator.ShardStatus{{Number: 0, Owner: "entry-1~x", Epoch: 7, Workers: 5, Running: 6, Waiting: 1}},
		Groups: []operator.GroupStatus{
			{Group: "search@1", Class: "Service", Running: 6},
			{Group: "huge@3", Class: "Normal", Waiting: 1, Reason: "can never run: needs 64 processors"},
		},
		Quarantined: []string{"thamel-2"}, Silent: []string{"entry-2"},
	}))
	goldie.New(t).Assert(t, "status", b.Bytes())
}

func TestPrintWhere(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	x := &jobserve.WhereResponse{
		Instance: "node-1", At: at, Queue: "r", Pool: "pool",
		Account: &jobserve.WhereAccount{Name: "kaje80", Known: true, Weight: 18, Cap: jobs.Resources{MilliCPU: 6021205, MemoryMB: 11270505}},
		Answer: &dispatch.JobPlacement{State: jobs.StatePending, Truncated: true, Steps: []dispatch.StepPlacement{
			{
				Tasks: 20, Ready: true, Slack: 1500 * time.Millisecond, Takers: 1, Excluded: map[string]int{"NoCapacity": 1, "Silent": 1},
				Workers: []dispatch.WorkerPlacement{
					{Worker: "i-03", Score: 0.5, FreeMilliCPU: 16000, FreeMemoryMB: 1000},
					{Worker: "i-01", Reason: "NoCapacity", InRack: true},
					{Worker: "i-02", Reason: "Silent"},
				},
				Rack: &dispatch.RackPlacement{
					Rack: "rack-0", Workers: 1, Waits: true, Deadline: at.Add(900 * time.Millisecond), HasPlace: true, PlaceAt: at.Add(600 * time.Millisecond),
					EndInRack: at.Add(2600 * time.Millisecond), EndElsewhere: at.Add(4 * time.Second),
				},
			},
			{Step: 1, Tasks: 2, Gang: []string{"i-03", "i-04"}, GangLabel: "rack-1", Rack: &dispatch.RackPlacement{Rack: "rack-9", EndElsewhere: at.Add(time.Second)}},
		}},
	}
	var b bytes.Buffer
	require.NoError(t, printTable(&b, whereRows(x, 2)...))
	goldie.New(t).Assert(t, "where", b.Bytes())
	b.Reset()
	require.NoError(t, printTable(&b, whereRows(&jobserve.WhereResponse{Instance: "node-1", Answer: &dispatch.JobPlacement{State: jobs.StateCompleted}}, 2)...))
	require.Contains(t, b.String(), "no task waits, state Completed")
}

func TestExitCodes(t *testing.T) {
	for name, tc := range map[string]struct {
		args []string
		want int
	}{
		"version":          {[]string{"version"}, exitOK},
		"help":             {[]string{"domain", "drain", "--help"}, exitOK},
		"no arguments":     {nil, exitInput},
		"unknown flag":     {[]string{"serve", "--colour", "red"}, exitInput},
		"bad duration":     {[]string{"serve", "--lease", "soon"}, exitInput},
		"bad settings":     {[]string{"serve"}, exitInput},
		"missing file":     {[]string{"document", "check", "/nowhere.yaml"}, exitFailed},
		"instance is down": {[]string{"status", "--instance", "http://127.0.0.1:1"}, exitFailed},
		"short demo":       {[]string{"demo", "--seconds", "1"}, exitFailed},
		"no subcommand":    {[]string{"document"}, exitInput},
		"where, no queue":  {[]string{"where"}, exitInput},
		"where, down":      {[]string{"where", "--instance", "http://127.0.0.1:1", "--job", "0"}, exitFailed},
		"platform, no doc": {[]string{"platform"}, exitInput},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			require.Equal(t, tc.want, run(tc.args, &out, &errOut), "%s%s", out.String(), errOut.String())
		})
	}
	require.Equal(t, exitInput, exitCode(&document.FindingsError{}))
	require.Equal(t, exitConflict, exitCode(&operator.ResponseError{Status: http.StatusConflict}))
	require.Equal(t, exitUnknown, exitCode(&operator.ResponseError{Status: http.StatusGatewayTimeout}))
	require.Equal(t, exitFailed, exitCode(errors.New("x")))
}
