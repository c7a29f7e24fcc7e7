package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"

	"currantknot.dev/currantknot/internal/demo"
	"currantknot.dev/currantknot/internal/platform/standin"
	"currantknot.dev/currantknot/internal/serve"
	"currantknot.dev/currantknot/internal/settings"
)

func newLogger(level string, instance string) zerolog.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(l).With().Timestamp().Str("Instance", instance).Logger()
}

type serveCommand struct {
	settings.Serve
}

func (c *serveCommand) run(ctx context.Context, _ io.Writer) error {
	if err := c.Check(); err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(c.Plan().HeapBytes))
	i, err := serve.New(c.Serve, newLogger(c.LogLevel, c.Name))
	if err != nil {
		return err
	}
	return i.Run(ctx)
}

type platformCommand struct {
	settings.Platform
}

func (c *platformCommand) run(ctx context.Context, out io.Writer) error {
	if err := c.Check(); err != nil {
		return err
	}
	ss, err := readSections(c.Document)
	if err != nil {
		return err
	}
	p := standin.New(standin.Config{
		Workers: standin.WorkersOf(ss), AppendsPerSecond: c.AppendsPerSecond, Retention: c.Retention,
		ListLag: c.ListLag, ServiceTime: c.ServiceTime, Seed: c.Seed, Logger: newLogger(c.LogLevel, "platform"),
	})
	defer p.Close()
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Fprintln(out, "stand-in platform at", l.Addr())
	return p.Serve(ctx, l)
}

type demoCommand struct {
	settings.Log
	Seconds int `arg:"--seconds,env:CURRANTKNOT_DEMO_SECONDS" default:"30" help:"length of the load in seconds, at least 20"`
}

func (c *demoCommand) run(ctx context.Context, out io.Writer) error {
	return demo.Run(ctx, out, demo.Config{Seconds: c.Seconds, Logger: newLogger("error", "demo")})
}
