package allocation

import (
	"github.com/hazelworks/hazelworks/core/escrow"
	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

// beginEra prepares this run for a new era of the log. What is known of all claims stays
// known. The pending write is dropped, and a new epoch makes the log refuse it in case it
// is still under way. It may have taken effect, so what it gave back counts as spent. The
// caller holds mu.
func (m *Manager) beginEra() {
	m.write = nil
	m.epoch = max(m.epoch, m.claims.Epoch(m.opt.Host)) + 1
	m.seq = 0
	m.confirmed = false
}

// isHostClaim reports whether a record is a claim of this host. After the log came back, the
// run knows its own claims better: a pending write may have taken effect in the new era, and
// what it claimed is not free. The claims of earlier runs are not known exactly, whatever the
// copy has of them; they count as missed eras.
func (m *Manager) isHostClaim(r platform.KeyedRecord) bool {
	c, _, err := escrow.Decode(r.Key, r.Value)
	return err == nil && c != nil && c.Host == m.opt.Host
}

// logEra logs what a new era changes for this host. The caller holds mu.
func (m *Manager) logEra(next platform.Position) {
	m.meters.eras.Inc(1)
	unconfirmed := record.Tokens(0)
	for _, alloc := range m.allocations {
		unconfirmed += m.claims.Unconfirmed(alloc.prepaid)
	}
	m.log.Info("Log came back from an older copy.", "era", next.Era, "before", m.next.Era, "offset", next.Offset,
		"offset_before", m.next.Offset, "rewritten", len(m.claims.HostClaims(m.opt.Host)),
		"unconfirmed_hosts", m.claims.UnconfirmedHosts(), "counted_at_most", unconfirmed)
}

// mustConfirm reports whether this host's claims have to be written again in a new era. A
// run that has claimed nothing yet confirms with its first claim. The caller holds mu.
func (m *Manager) mustConfirm() bool {
	h := m.claims.HostRecord(m.opt.Host)
	return !m.confirmed && h.Epoch > 0 && h.Era < m.next.Era
}

// prepareConfirmation makes the pending write one of all claims of this host, as they are
// known, and of its host record. The caller holds mu.
func (m *Manager) prepareConfirmation() {
	next := &write{seq: m.seq + 1}
	for _, c := range m.claims.HostClaims(m.opt.Host) {
		c.Epoch, c.Seq = m.epoch, next.seq
		value, err := c.Encode()
		if err != nil {
			m.log.Error(err, "Claim could not be encoded.", "budget", c.Budget)
			return
		}
		next.records = append(next.records, platform.KeyedRecord{Key: c.Key(), Value: value})
	}
	m.addHostRecord(next)
	m.write = next
}

// hostRecord returns the record in which this run confirms the era, in the write with a
// sequence number. The caller holds mu.
func (m *Manager) hostRecord(seq uint64) escrow.HostRecord {
	return escrow.HostRecord{Host: m.opt.Host, Epoch: m.epoch, Seq: seq, Era: m.next.Era, Missed: m.missedEras}
}

// addHostRecord adds this run's host record to a write, unless it is written. The caller
// holds mu.
func (m *Manager) addHostRecord(w *write) {
	if m.confirmed {
		return
	}
	h := m.hostRecord(w.seq)
	value, err := h.Encode()
	if err != nil {
		m.log.Error(err, "Host record could not be encoded.")
		return
	}
	w.records = append(w.records, platform.KeyedRecord{Key: h.Key(), Value: value})
	w.confirms = true
}
