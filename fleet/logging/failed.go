package logging

import (
	"github.com/go-logr/logr"
	"go.uber.org/zap/zapcore"
)

// failedKey is the field that marks lines about failed requests.
const failedKey = "failed"

// Failed returns a logger for lines about failed requests. They have a rate limit
// of their own, so that lines with the same message about successful requests don't
// use it up.
func Failed(log logr.Logger) logr.Logger { return log.WithValues(failedKey, true) }

// splitCore is a zapcore.Core with separate rate limits: lines with the field
// failedKey go to failed, all others to the embedded Core.
type splitCore struct {
	zapcore.Core
	failed zapcore.Core
}

// With implements zapcore.Core.
func (b *splitCore) With(fields []zapcore.Field) zapcore.Core {
	for _, f := range fields {
		if f.Key == failedKey {
			return b.failed.With(fields)
		}
	}
	return &splitCore{Core: b.Core.With(fields), failed: b.failed.With(fields)}
}
