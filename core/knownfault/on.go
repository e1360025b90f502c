//go:build knownfaults

package knownfault

import "os"

// env names the variable that names the fault that is on.
const env = "HAZELWORKS_KNOWN_FAULT"

var (
	// RepeatUnsafe makes hosts repeat requests that must not run twice.
	RepeatUnsafe = os.Getenv(env) == "repeat-unsafe"
	// SpendUnclaimed makes hosts spend what they have not claimed.
	SpendUnclaimed = os.Getenv(env) == "spend-unclaimed"
	// KeepOldSettings makes hosts ignore all settings but the first.
	KeepOldSettings = os.Getenv(env) == "keep-old-settings"
)
