package balance

import (
	"math"
	"time"
)

// maxRank is the last rank that is told apart from others.
const maxRank = 9

const (
	// loadWindow is the time over which the load of each rank is averaged: some
	// times the longest wait that callers accept.
	loadWindow = time.Second
	// maxUrgentLoad bounds the load of more urgent requests that is believed,
	// since near 1 the estimate of a wait would grow without bound.
	maxUrgentLoad = 0.9
)

// queue estimates the waits at an engine that reads prompts one after another and
// takes the most urgent next.
type queue struct {
	ranks [maxRank + 1]rankQueue
	// readingSince is when the engine began to read the prompt that it reads now.
	readingSince time.Time
}

// rankQueue is the part of one rank.
type rankQueue struct {
	waiting int
	// unread is the time to read the prompts that wait.
	unread time.Duration
	// load is the time to read the prompts that came within the window, as a
	// part of the window, at a moment.
	load          float64
	loadUpdatedAt time.Time
}

func clampRank(rank int) int { return min(max(rank, 0), maxRank) }

// add takes in a request whose prompt takes a time to read.
func (q *queue) add(rank int, read time.Duration, now time.Time) {
	if q.waiting() == 0 {
		q.readingSince = now
	}
	r := &q.ranks[clampRank(rank)]
	r.waiting++
	r.unread += read
	r.load = r.loadAt(now) + read.Seconds()/loadWindow.Seconds()
	r.loadUpdatedAt = now
}

// remove takes out a request whose answer has begun, or that has ended.
func (q *queue) remove(rank int, read time.Duration, now time.Time) {
	r := &q.ranks[clampRank(rank)]
	r.waiting--
	r.unread -= read
	q.readingSince = now
}

func (q *queue) waiting() int {
	n := 0
	for i := range q.ranks {
		n += q.ranks[i].waiting
	}
	return n
}

// wait estimates when a new request of a rank would be read: after what is no less
// urgent, and after what overtakes it meanwhile. With the load of more urgent
// requests as rho, the first takes 1/(1-rho) times as long, as in any queue with
// priorities.
func (q *queue) wait(rank int, now time.Time) time.Duration {
	rank = clampRank(rank)
	unread, waiting, urgentLoad := time.Duration(0), 0, 0.0
	for i := range rank + 1 {
		r := &q.ranks[i]
		unread += r.unread
		waiting += r.waiting
		if i < rank {
			urgentLoad += r.loadAt(now)
		}
	}
	if waiting == 0 {
		return 0
	}
	// The prompt that is being read is probably as long as the others.
	progress := min(now.Sub(q.readingSince), unread/time.Duration(waiting))
	ahead := max(0, unread-progress)
	return time.Duration(float64(ahead) / (1 - min(urgentLoad, maxUrgentLoad)))
}

func (r *rankQueue) loadAt(now time.Time) float64 {
	return r.load * math.Exp(-now.Sub(r.loadUpdatedAt).Seconds()/loadWindow.Seconds())
}
