//go:build !knownfaults

// Package knownfault holds faults that are switched on in a build of their own (tag
// knownfaults), to show that the soak finds them. In all other builds each is a
// constant false, and the compiler leaves its code out.
package knownfault

// RepeatUnsafe makes hosts repeat requests that must not run twice.
const RepeatUnsafe = false

// SpendUnclaimed makes hosts spend what they have not claimed.
const SpendUnclaimed = false

// KeepOldSettings makes hosts ignore all settings but the first.
const KeepOldSettings = false
