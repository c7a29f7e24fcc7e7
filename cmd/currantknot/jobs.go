package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/platform"
)

// jobsCommand runs one instance on the users' platform, with the settings file that the platform provides.
type jobsCommand struct {
	Settings string `arg:"--settings,env:CURRANTKNOT_SETTINGS" placeholder:"FILE" help:"settings file that the platform provides"`
	Metrics  string `arg:"--metrics-listen,env:CURRANTKNOT_METRICS_LISTEN" default:":9464" placeholder:"ADDRESS" help:"address that serves metrics as text; empty for none"`
	LogLevel string `arg:"--log-level,env:CURRANTKNOT_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"least level that is logged: debug, info, warn, error"`
}

func (c *jobsCommand) run(ctx context.Context, _ io.Writer) error {
	if c.Settings == "" {
		return &argumentError{"--settings is empty"}
	}
	s, err := platform.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	w := jobserve.NewLogWriter(os.Stdout)
	defer func() { w.Close(time.Now().Add(logCloseLimit)) }()
	l := newJobsLogger(w, c.LogLevel, s.Name)
	m := jobserve.NewMetrics()
	log := platform.NewStore(s.StoreAddress, s.Name+"-"+strconv.FormatInt(time.Now().UnixNano(), 36))
	store := jobserve.MeasureStore(log, m)
	state := &jobserve.State{}
	replica := jobserve.NewReplica(store, l)
	service := jobserve.NewService(store, replica, l)
	err = jobserve.NewInstance(jobserve.InstanceConfig{
		Name: s.Name, CallerListen: s.CallerListen, ReadyListen: s.ReadyListen, StopWithin: s.StopWithin,
		Lease: min(s.LongestLease, longestLease), Store: store, Workers: jobserve.MeasureWorkers(platform.NewWorkers(), m), Directory: platform.NewDirectory(log, l),
		Adviser: platform.NewAdviser(s.AdviserAddress), Machines: platform.NewMachines(s.MachinesAddress, s.Name, log), TurnAfter: s.TurnAfter,
		Operators: platform.NewOperator(log, l), State: state, Replica: replica, Front: platform.NewFront(state, service, l),
		MetricsListen: c.Metrics, Metrics: m, Log: w, Logger: l,
	}).Run(ctx)
	if err != nil {
		return fmt.Errorf("instance %s: %w", s.Name, err)
	}
	return nil
}

// longestLease bounds the leases of workers, and with them the time for which the work of a silent worker is held.
const longestLease = 6 * time.Second

// logCloseLimit bounds the wait for a slow reader of the log at the end.
const logCloseLimit = 300 * time.Millisecond

func newJobsLogger(w io.Writer, level, instance string) zerolog.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("Instance", instance).Logger()
}
