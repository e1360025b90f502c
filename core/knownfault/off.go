//go:build !knownfaults

// Package knownfault defines deliberate faults, to check that the soak test finds them.
// A build with the tag knownfaults can enable one of them. In all other builds, each
// fault is a constant false and the compiler removes its code.
package knownfault

// RepeatUnsafe makes hosts retry requests that must not run twice.
const RepeatUnsafe = false

// SpendUnclaimed makes hosts spend tokens that they have not claimed.
const SpendUnclaimed = false

// KeepOldSettings makes hosts ignore all settings after the first.
const KeepOldSettings = false

// IgnoreLimits makes hosts send more requests to an upstream than its limit allows.
const IgnoreLimits = false

// IgnoreCold makes hosts send more requests to cold upstreams than these take.
const IgnoreCold = false

// IgnoreEmptied makes hosts send requests to emptied failure domains.
const IgnoreEmptied = false

// CutOnStop makes a host that is stopped end at once.
const CutOnStop = false

// SendCrashing makes hosts send requests that are known to crash upstreams.
const SendCrashing = false

// MixVersions makes hosts let streams go on at any software version.
const MixVersions = false

// AddMessageField makes hosts send gossip messages with one more field in the middle.
const AddMessageField = false
