package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/internal/relay"
	"currantknot.dev/currantknot/internal/settings"
	"currantknot.dev/currantknot/platform"
)

const (
	// longestLease bounds the leases of workers, and with them the time for which the work of a silent worker is held.
	longestLease = 6 * time.Second
	// logCloseLimit bounds the wait for a slow reader of the log at the end.
	logCloseLimit = 300 * time.Millisecond
	// reloadEvery is the time between two looks at the settings file.
	reloadEvery = time.Second
)

// jobsCommand runs one instance on the users' platform.
type jobsCommand struct {
	settings.Jobs
}

func (c *jobsCommand) run(ctx context.Context, _ io.Writer) error {
	if c.File == "" {
		return &argumentError{"--settings is empty"}
	}
	s, err := platform.ReadSettings(c.File)
	if err != nil {
		return err
	}
	w := jobserve.NewLogWriter(os.Stdout)
	defer func() { w.Close(time.Now().Add(logCloseLimit)) }()
	l := newJobsLogger(w, c.LogLevel, s.Name)
	x := jobserve.NewIdentity(s.Name, s.Processors, s.RelayListen, time.Now())
	log := platform.NewStore(s.StoreAddress, x.String())
	go c.reload(ctx, log, l)
	if err := newJobsInstance(s, x, c.MetricsListen, log, w, l).Run(ctx); err != nil {
		return fmt.Errorf("instance %s: %w", s.Name, err)
	}
	return nil
}

// newJobsInstance connects the product with the adapter of the platform.
func newJobsInstance(s *platform.Settings, x jobserve.Identity, metrics string, log *platform.Store, w *jobserve.LogWriter, l zerolog.Logger) *jobserve.Instance {
	m := jobserve.NewMetrics()
	store := jobserve.InstrumentStore(log, m)
	state := &jobserve.State{}
	replica := jobserve.NewReplica(store, l)
	workers := platform.NewWorkers()
	node := &relay.Node{
		Listen: s.RelayListen, Pool: relay.NewPool(workers, s.Processors, l),
		Agent: relay.NewAgent(relay.Hello{Name: s.Name, FailureDomain: s.FailureDomain}, jobserve.InstrumentWorkers(workers, m), l),
	}
	return jobserve.NewInstance(jobserve.InstanceConfig{
		Name: s.Name, CallerListen: s.CallerListen, ReadyListen: s.ReadyListen, ShutdownTimeout: s.StopWithin,
		Lease: min(s.LongestLease, longestLease), FinishedJobRetention: s.KeepEnded, MaintenanceDelay: s.TurnAfter, Identity: x,
		Store: store, Replica: replica, State: state,
		Workers: jobserve.InstrumentWorkers(node, m), Relays: node, Directory: platform.NewDirectory(log, l),
		Adviser: platform.NewAdviser(s.AdviserAddress), Maintenance: platform.NewMachines(s.MachinesAddress, s.Name, log),
		Operators: platform.NewOperator(log, l), CallerHandler: platform.NewFront(state, jobserve.NewService(store, replica, l), l),
		MetricsListen: metrics, Metrics: m, Log: w, Logger: l,
	})
}

// reload reads the settings file again when it changes or a signal tells so; listening addresses stay as they are.
func (c *jobsCommand) reload(ctx context.Context, log *platform.Store, l zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	known, _ := os.ReadFile(c.File)
	for {
		reason := "the file changed"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			reason = "signal"
		case <-t.C:
		}
		b, err := os.ReadFile(c.File)
		if err == nil && reason != "signal" && bytes.Equal(b, known) {
			continue
		}
		known = b
		s, err := platform.ReadSettings(c.File)
		if err != nil {
			l.Error().Err(err).Str("Decision", "KeepSettings").Str("Reason", reason).Msg("settings cannot be read; the earlier ones stay in force")
			continue
		}
		log.SetAddress(s.StoreAddress)
		l.Info().Str("Decision", "Reload").Str("Reason", reason).Str("Store", s.StoreAddress).Msg("settings were read again")
	}
}

func newJobsLogger(w io.Writer, level, instance string) zerolog.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Str("Instance", instance).Logger()
}
