package quarantine

import "time"

// answerLog remembers when a request with a subject was last answered. It has two
// generations: once the younger one is full, the older one is forgotten.
type answerLog struct {
	young, old map[Subject]time.Time
}

func newAnswerLog() *answerLog { return &answerLog{young: make(map[Subject]time.Time)} }

func (l *answerLog) add(s Subject, now time.Time) {
	if _, ok := l.young[s]; !ok && len(l.young) >= maxAnswered/2 {
		l.young, l.old = make(map[Subject]time.Time), l.young
	}
	l.young[s] = now
}

func (l *answerLog) last(s Subject) (time.Time, bool) {
	if at, ok := l.young[s]; ok {
		return at, true
	}
	at, ok := l.old[s]
	return at, ok
}

// dropOld forgets the older generation if it has expired.
func (l *answerLog) dropOld(now time.Time) {
	for _, at := range l.old {
		if now.Sub(at) < evidenceTTL {
			return
		}
	}
	l.old = nil
}
