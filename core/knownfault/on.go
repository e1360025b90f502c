//go:build knownfaults

package knownfault

import "os"

// env is the environment variable whose value is the name of the enabled fault.
const env = "HAZELWORKS_KNOWN_FAULT"

var (
	// RepeatUnsafe makes hosts retry requests that must not run twice.
	RepeatUnsafe = os.Getenv(env) == "repeat-unsafe"
	// SpendUnclaimed makes hosts spend tokens that they have not claimed.
	SpendUnclaimed = os.Getenv(env) == "spend-unclaimed"
	// KeepOldSettings makes hosts ignore all settings after the first.
	KeepOldSettings = os.Getenv(env) == "keep-old-settings"
	// IgnoreLimits makes hosts send more requests to an upstream than its limit allows.
	IgnoreLimits = os.Getenv(env) == "ignore-limits"
	// IgnoreCold makes hosts send more requests to cold upstreams than these take.
	IgnoreCold = os.Getenv(env) == "ignore-cold"
	// IgnoreEmptied makes hosts send requests to emptied failure domains.
	IgnoreEmptied = os.Getenv(env) == "ignore-emptied"
	// CutOnStop makes a host that is stopped end at once.
	CutOnStop = os.Getenv(env) == "cut-on-stop"
	// SendCrashing makes hosts send requests that are known to crash upstreams.
	SendCrashing = os.Getenv(env) == "send-crashing"
	// MixVersions makes hosts let streams go on at any software version.
	MixVersions = os.Getenv(env) == "mix-versions"
	// AddMessageField makes hosts send gossip messages with one more field in the middle.
	AddMessageField = os.Getenv(env) == "add-message-field"
)
