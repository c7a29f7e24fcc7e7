package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/jobserve"
	"currantknot.dev/currantknot/internal/limits"
	"currantknot.dev/currantknot/internal/locality"
	"currantknot.dev/currantknot/internal/relay"
	"currantknot.dev/currantknot/internal/settings"
	"currantknot.dev/currantknot/platform"
)

const (
	// maxLease bounds the leases of workers, and so the time for which tasks stay assigned to an unresponsive worker.
	maxLease = 6 * time.Second
	// logCloseTimeout bounds the time at shutdown in which buffered log lines are written to a slow reader of standard output.
	logCloseTimeout = 300 * time.Millisecond
	// reloadInterval is the interval at which the settings file is checked for changes.
	reloadInterval = time.Second
)

// jobsCommand runs one instance that accepts and runs jobs, on the platform that the settings file describes.
type jobsCommand struct {
	settings.Jobs
}

func (c *jobsCommand) run(ctx context.Context, _ io.Writer) error {
	if c.File == "" {
		return &argumentError{"--settings is empty"}
	}
	if err := c.Check(); err != nil {
		return err
	}
	s, err := platform.ReadSettings(c.File)
	if err != nil {
		return err
	}
	w := jobserve.NewLogWriter(os.Stdout)
	defer func() { w.Close(time.Now().Add(logCloseTimeout)) }()
	l := newJobsLogger(w, c.LogLevel, s.Name)
	id := jobserve.NewIdentity(s.Name, s.Processors, s.RelayListen, time.Now())
	store := platform.NewStore(s.StoreAddress, id.String())
	go c.reload(ctx, store, l)
	if err := newJobsInstance(s, id, &c.Jobs, store, w, l).Run(ctx); err != nil {
		return fmt.Errorf("instance %s: %w", s.Name, err)
	}
	return nil
}

// newJobsInstance assembles an instance from the scheduler packages and from package platform. There are two platform APIs:
// the top-level package platform adapts the one of the jobs command, and internal/platform the one of serve and demo.
func newJobsInstance(s *platform.Settings, id jobserve.Identity, c *settings.Jobs, platformStore *platform.Store, w *jobserve.LogWriter, l zerolog.Logger) *jobserve.Instance {
	m := jobserve.NewMetrics()
	plan := c.Plan(limits.Machine{MemoryBytes: s.MemoryLimitMB << 20, Descriptors: s.MaxDescriptors})
	debug.SetMemoryLimit(int64(plan.HeapBytes))
	guards := jobserve.NewGuards(plan, m, l)
	monitor := jobserve.NewStoreMonitor(m, l)
	store := monitor.Watch(jobserve.InstrumentStore(platformStore, m))
	state := &jobserve.OperatorState{}
	replica := jobserve.NewReplica(store, l)
	workers := platform.NewWorkers()
	node := &relay.Node{
		Listen: s.RelayListen, Listener: guards.Relays, Pool: relay.NewPool(workers, s.Processors, l),
		Agent: relay.NewAgent(relay.Hello{Name: s.Name, FailureDomain: s.FailureDomain}, jobserve.InstrumentWorkers(workers, m), l),
	}
	node.Identity, node.FinishedPage = id.String(), platform.FinishedPageRows
	node.Pool.Reach, node.Agent.Reach = monitor.Reach, monitor.Reach
	commits := new(jobserve.CommitWatch)
	node.Pool.Commits, node.Agent.Commits = commits, commits
	monitor.SetPeers(node)
	service := jobserve.NewService(store, replica, node, l)
	service.SetMonitor(monitor)
	service.SetJobLimit(plan.JobBytes, m)
	node.Pool.Append, node.Agent.Append = service.AppendFor, service.AppendFor
	return jobserve.NewInstance(jobserve.InstanceConfig{
		Name: s.Name, CallerListen: s.CallerListen, ReadyListen: s.ReadyListen, Guards: guards, ShutdownTimeout: s.ShutdownTimeout,
		Lease: min(s.MaxLease, maxLease), MaxLease: s.MaxLease, FinishedJobRetention: s.FinishedJobRetention, MaintenanceDelay: s.MaintenanceDelay, StartBounds: s.StartBounds, OffRackFactor: locality.Factor(s.OffRackFactor), AppendLimits: s.AppendLimits, Identity: id,
		Store: store, Replica: replica, Commits: commits, Monitor: monitor, State: state,
		Workers: jobserve.InstrumentWorkers(node, m), Relays: node, Directory: platform.NewDirectory(platformStore, l),
		Advisor: platform.NewPlacementAdvisor(s.PlacementAdvisorAddress), Maintenance: platform.NewMaintenanceClient(s.MaintenanceAddress, s.Name, platformStore),
		Operators:     platform.NewOperatorWatcher(platformStore, l),
		CallerHandler: platform.NewCallerHandler(platform.CallerHandlerConfig{State: state, Service: service, Metrics: m, MaxKeyAge: s.MaxKeyAge, Logger: l}),
		MetricsListen: c.MetricsListen, WorkersRestart: c.WorkersRestart, DecodeJob: platform.DecodeJob, Metrics: m, Log: w, Logger: l,
	})
}

// reload reads the settings file again when its content changes or SIGHUP arrives, and applies the address of the store.
//
// All other settings, such as the listening addresses, change only with a restart. If the file can't be read, the previous
// address is kept.
func (c *jobsCommand) reload(ctx context.Context, store *platform.Store, l zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	previous, _ := os.ReadFile(c.File)
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
		if err == nil && reason != "signal" && bytes.Equal(b, previous) {
			continue
		}
		previous = b
		s, err := platform.ReadSettings(c.File)
		if err != nil {
			l.Error().Err(err).Str("Decision", "KeepSettings").Str("Reason", reason).Msg("cannot load the settings file; keeping the previous settings")
			continue
		}
		store.SetAddress(s.StoreAddress)
		l.Info().Str("Decision", "Reload").Str("Reason", reason).Str("Store", s.StoreAddress).Msg("settings file read again; only the address of the store was applied")
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
