package roster

import (
	"time"

	"github.com/hazelworks/hazelworks/core/record"
)

// FullTTL is how long a host counts as full after it has said so. It says so again while it lasts.
const FullTTL = 2 * time.Second

// SetFull records that a run of a host has said that it is full, or that it is so no more.
func (t *Table) SetFull(record.HostID, uint64, bool, time.Time) {}

// SetSelfFull sets whether this host is full.
func (t *Table) SetSelfFull(bool) {}
