package balance

import "time"

// maxRank is the highest rank with a queue of its own; higher ranks are clamped to it.
const maxRank = 9

const (
	// loadWindow is the time constant of the average load of each rank. It is several
	// times the longest wait that callers accept.
	loadWindow = time.Second
	// maxUrgentLoad caps the load of more urgent requests in the estimate. Near 1, the
	// estimated wait would grow without bound.
	maxUrgentLoad = 0.9
)

// queue estimates the waits at an engine that reads prompts one after another, the most
// urgent first.
type queue struct {
	ranks [maxRank + 1]rankQueue
	// readingSince is when the engine started to read its present prompt.
	readingSince time.Time
}

// rankQueue is the part of the queue of one rank.
type rankQueue struct {
	waiting int
	// unread is the time to read the waiting prompts.
	unread time.Duration
	// load is the decayed sum, at loadUpdatedAt, of the times to read the prompts that
	// arrived, as a share of the window.
	load          float64
	loadUpdatedAt time.Time
	// arrived is the decayed number of arrivals, at loadUpdatedAt.
	arrived float64
}

func clampRank(rank int) int { return min(max(rank, 0), maxRank) }

// add adds a request whose prompt takes the time read to read.
func (q *queue) add(rank int, read time.Duration, now time.Time) {
	if q.waiting() == 0 {
		q.readingSince = now
	}
	r := &q.ranks[clampRank(rank)]
	r.waiting++
	r.unread += read
	r.load = r.loadAt(now) + read.Seconds()/loadWindow.Seconds()
	r.arrived = 1 + r.arrived*decay(now.Sub(r.loadUpdatedAt), loadWindow)
	r.loadUpdatedAt = now
}

// remove removes a request whose answer has started, or that has ended.
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

// wait estimates the time until a new request of the rank would be read, at an upstream where
// reading takes slowness times as long as usual. It waits for the
// prompts that are no less urgent, and for more urgent ones that arrive meanwhile. With a
// load rho of more urgent requests, the wait is 1/(1-rho) times as long, as in any
// priority queue.
func (q *queue) wait(rank int, slowness float64, now time.Time) time.Duration {
	rank = clampRank(rank)
	unread, waiting := time.Duration(0), 0
	for i := range rank + 1 {
		unread += q.ranks[i].unread
		waiting += q.ranks[i].waiting
	}
	if waiting == 0 {
		return 0
	}
	urgentLoad := 0.0
	for i := range rank {
		urgentLoad += q.ranks[i].loadAt(now)
	}
	// The prompt that is being read is assumed to be as long as the mean of all waiting ones.
	unread = scale(unread, slowness)
	progress := min(now.Sub(q.readingSince), unread/time.Duration(waiting))
	ahead := max(0, unread-progress)
	return time.Duration(float64(ahead) / (1 - min(urgentLoad*slowness, maxUrgentLoad)))
}

func (r *rankQueue) loadAt(now time.Time) float64 {
	if r.load == 0 {
		return 0
	}
	return r.load * decay(now.Sub(r.loadUpdatedAt), loadWindow)
}
