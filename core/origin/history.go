package origin

import (
	"maps"
	"slices"
	"time"
)

// History holds the versions that one service has had. It tells the origin of a stream of which
// nothing is recorded, if all upstreams that can have begun it are of one version.
//
// It relies on two sources. The list of upstreams tells the versions since the list was watched.
// The notes, records of the log, tell those of before: no event of a stream that may be taken
// up leaves a host before a note of its version is in the log. It is not safe for concurrent use.
type History struct {
	// since is when the list of upstreams was first read, or read again after a gap. Zero
	// means never.
	since time.Time
	// listed are the versions in the list, and unlisted those that have left it, with the
	// time.
	listed   map[Version]bool
	unlisted map[Version]time.Time
	// noted are the versions in the notes, as of notedAt. whole is true if no note is missing
	// of a version that has served in the [Lifetime] before.
	noted   map[Version]bool
	notedAt time.Time
	whole   bool
	// carried are the versions that were noted before the log came back from an older copy,
	// with the time of its return.
	carried map[Version]time.Time
}

// NewHistory returns a history without observations of a service. since is when the list of
// upstreams was first read, or read again after a gap; zero means never.
func NewHistory(since time.Time) *History {
	return &History{since: since, listed: make(map[Version]bool), unlisted: make(map[Version]time.Time),
		noted: make(map[Version]bool), carried: make(map[Version]time.Time)}
}

// Observe applies the versions that the list of upstreams has now. Versions that were listed in
// a gap between two reads of the list are not observed; see [History.Gap].
func (h *History) Observe(versions []Version, now time.Time) {
	if h.since.IsZero() {
		h.since = now
	}
	for v := range h.listed {
		h.unlisted[v] = now
	}
	clear(h.listed)
	for _, v := range versions {
		h.listed[v] = true
		delete(h.unlisted, v)
	}
	tooOld := func(_ Version, at time.Time) bool { return now.Sub(at) >= Lifetime }
	maps.DeleteFunc(h.unlisted, tooOld)
	maps.DeleteFunc(h.carried, tooOld)
}

// Gap records that the list was out of reach until now. Other hosts may have used upstreams
// that were listed meanwhile; the notes that are read from now on tell.
func (h *History) Gap(now time.Time) { h.since = now }

// Note applies the versions in the log's notes, as read now. whole is true if the notes hold
// all versions that have served in the [Lifetime] before.
func (h *History) Note(versions []Version, whole bool, now time.Time) {
	h.noted = make(map[Version]bool, len(versions))
	for _, v := range versions {
		h.noted[v] = true
	}
	h.whole, h.notedAt = whole, now
}

// Rewind records that the log came back from an older copy, in which notes may be missing.
func (h *History) Rewind(now time.Time) {
	for v := range h.noted {
		h.carried[v] = now
	}
	h.noted, h.whole = make(map[Version]bool), false
}

// Recent returns the versions that upstreams are listed with, or were in the last [Lifetime].
func (h *History) Recent(now time.Time) []Version {
	out := slices.Collect(maps.Keys(h.listed))
	for v, at := range h.unlisted {
		if now.Sub(at) < Lifetime {
			out = append(out, v)
		}
	}
	return out
}

// Unnoted returns the versions of which the log needs a note that it doesn't have.
func (h *History) Unnoted(now time.Time) []Version {
	var out []Version
	for _, v := range h.possible(now) {
		if !h.noted[v] {
			out = append(out, v)
		}
	}
	return out
}

// Left reports whether no stream of a version can be taken up any more: it has not been listed
// for [Lifetime], in which the list was watched without a gap.
func (h *History) Left(v Version, now time.Time) bool {
	return h.watched(now) && !slices.Contains(h.possible(now), v)
}

// watched reports whether the list was watched without a gap for [Lifetime].
func (h *History) watched(now time.Time) bool {
	return !h.since.IsZero() && now.Sub(h.since) >= Lifetime
}

// Knows reports whether the history has all versions that can have begun a stream in the last
// [Lifetime]. Notes that were read before the list don't count: a version may have been noted,
// served and left in between.
func (h *History) Knows(now time.Time) bool {
	return h.watched(now) || !h.since.IsZero() && h.whole && !h.notedAt.Before(h.since)
}

// possible returns the known versions that can have begun a stream in the last [Lifetime].
func (h *History) possible(now time.Time) []Version {
	out := h.Recent(now)
	for v, at := range h.carried {
		if now.Sub(at) < Lifetime {
			out = append(out, v)
		}
	}
	if !h.watched(now) {
		out = slices.AppendSeq(out, maps.Keys(h.noted))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Sole returns the version of all upstreams that can have begun a stream in the last
// [Lifetime], or [Unknown] if there are several or the history does not go back so far.
func (h *History) Sole(now time.Time) Version {
	if versions := h.possible(now); h.Knows(now) && len(versions) == 1 {
		return versions[0]
	}
	return Unknown
}
