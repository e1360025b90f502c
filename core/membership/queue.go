package membership

import "github.com/hazelworks/hazelworks/core/record"

// maxQueuedReports limits the reports that wait to be passed on. Beyond it the
// oldest is dropped.
const maxQueuedReports = 1024

// reportQueue holds the reports that this host passes on, newest last.
type reportQueue struct {
	items []queuedReport
}

type queuedReport struct {
	report    Report
	remaining int
}

// add queues a report for a number of messages. It replaces an older report by
// the same witness on the same host.
func (q *reportQueue) add(r Report, transmits int) {
	for i := range q.items {
		if sameKey(q.items[i].report, r.Host, r.By) {
			q.items[i] = queuedReport{r, transmits}
			return
		}
	}
	if len(q.items) >= maxQueuedReports {
		q.items = q.items[1:]
	}
	q.items = append(q.items, queuedReport{r, transmits})
}

func sameKey(r Report, host, by record.HostID) bool {
	return r.Host == host && r.By == by
}

// take returns the newest reports and counts them as sent once.
func (q *reportQueue) take(limit int) []Report {
	start := max(0, len(q.items)-limit)
	reports := make([]Report, 0, len(q.items)-start)
	kept := q.items[:start]
	for _, item := range q.items[start:] {
		reports = append(reports, item.report)
		item.remaining--
		if item.remaining > 0 {
			kept = append(kept, item)
		}
	}
	q.items = kept
	return reports
}

// peek returns the newest reports without counting them as sent.
func (q *reportQueue) peek(limit int) []Report {
	start := max(0, len(q.items)-limit)
	reports := make([]Report, 0, len(q.items)-start)
	for _, item := range q.items[start:] {
		reports = append(reports, item.report)
	}
	return reports
}
