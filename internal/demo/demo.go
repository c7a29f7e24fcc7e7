package demo

import (
	"context"
	"io"

	"github.com/rs/zerolog"
)

// Config holds the settings of a demonstration.
type Config struct {
	Seconds int
	Logger  zerolog.Logger
}

// Run runs the demonstration and returns an error if a promise was broken.
func Run(context.Context, io.Writer, Config) error { return nil }
