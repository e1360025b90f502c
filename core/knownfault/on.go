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
)
