package logging

import (
	"github.com/go-logr/logr"
	"go.uber.org/zap/zapcore"
)

// failedKey marks lines about requests that have failed.
const failedKey = "failed"

// Failed returns a logger for lines about requests that have failed. They have a budget
// of their own, so that lines of the same kind about requests that went well don't take
// their place.
func Failed(log logr.Logger) logr.Logger { return log.WithValues(failedKey, true) }

// splitCore is a zapcore.Core that keeps the splitCore of both apart.
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
