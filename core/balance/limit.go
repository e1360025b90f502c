package balance

// rateLimit is the limit that an upstream has stated. The zero value limits nothing.
type rateLimit struct {
	stated    bool
	perSecond float64
}

// apply applies what an answer states and reports whether that is new.
func (l *rateLimit) apply(stated Limit) bool {
	switch {
	case stated.State == LimitUnknown:
		return false
	case stated.State == LimitAbsent:
		was := l.stated
		*l = rateLimit{}
		return was
	case l.stated && l.perSecond == stated.PerSecond:
		return false
	}
	l.stated, l.perSecond = true, stated.PerSecond
	return true
}
