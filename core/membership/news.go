package membership

import "github.com/hazelworks/hazelworks/core/record"

// maxNews bounds the reports that wait to be passed on.
const maxNews = 1024

// news holds the reports that this host passes on, newest last.
type news struct {
	items []newsItem
}

type newsItem struct {
	report Report
	left   int
}

// add queues a report in place of an older one by the same witness.
func (n *news) add(r Report, repeats int) {
	for i := range n.items {
		if sameSubject(n.items[i].report, r.Host, r.By) {
			n.items[i] = newsItem{r, repeats}
			return
		}
	}
	if len(n.items) >= maxNews {
		n.items = n.items[1:]
	}
	n.items = append(n.items, newsItem{r, repeats})
}

func sameSubject(r Report, host, by record.HostID) bool {
	return r.Host == host && r.By == by
}

// take returns the newest reports and counts them as sent once.
func (n *news) take(limit int) []Report {
	start := max(0, len(n.items)-limit)
	reports := make([]Report, 0, len(n.items)-start)
	kept := n.items[:start]
	for _, item := range n.items[start:] {
		reports = append(reports, item.report)
		item.left--
		if item.left > 0 {
			kept = append(kept, item)
		}
	}
	n.items = kept
	return reports
}

// peek returns the newest reports without counting them as sent.
func (n *news) peek(limit int) []Report {
	start := max(0, len(n.items)-limit)
	reports := make([]Report, 0, len(n.items)-start)
	for _, item := range n.items[start:] {
		reports = append(reports, item.report)
	}
	return reports
}
