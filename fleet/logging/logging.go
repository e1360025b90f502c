// Package logging builds the logger of a process: logr on top of zap, as JSON or
// text, optionally with a bounded volume.
package logging

import (
	"fmt"
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// debugVerbosity is the highest logr verbosity that is logged at level "debug".
const debugVerbosity = 2

// New returns a logger that writes to out. Format is "json" or "text"; level is
// "error", "info" or "debug".
func New(out io.Writer, format, level string) (logr.Logger, error) {
	encoder, err := newEncoder(format)
	if err != nil {
		return logr.Discard(), err
	}
	minLevel, err := parseLevel(level)
	if err != nil {
		return logr.Discard(), err
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(out)), minLevel)
	return zapr.NewLogger(zap.New(core)), nil
}

func newEncoder(format string) (zapcore.Encoder, error) {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.NameKey = "part"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	switch format {
	case "json":
		return zapcore.NewJSONEncoder(cfg), nil
	case "text":
		return zapcore.NewConsoleEncoder(cfg), nil
	default:
		return nil, fmt.Errorf("log format %q: want json or text", format)
	}
}

func parseLevel(level string) (zapcore.Level, error) {
	switch level {
	case "error":
		return zapcore.ErrorLevel, nil
	case "info":
		return zapcore.InfoLevel, nil
	case "debug":
		return zapcore.Level(-debugVerbosity), nil
	default:
		return 0, fmt.Errorf("log level %q: want error, info or debug", level)
	}
}
