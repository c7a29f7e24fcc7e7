package main

import (
	"bytes"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

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
