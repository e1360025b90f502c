// Package build tells which features a build of this program has, so that builds of before and
// after a change can run side by side. See docs/design/builds.md.
package build

// Level is a number that each landing raises which adds a message, a record or a field whose
// absence or misreading at another host matters. A build has the features of all lower levels.
type Level uint32

// Levels of the features, oldest first. None is ever given another meaning.
const (
	// Unstated is the level of all builds that do not state one.
	Unstated Level = 0
	// Stated is the level of builds that state their level in their entry of the hosts' list.
	Stated Level = 1
)

// Current is the level of this build.
const Current = Stated

// Info is what a host states about its build in its entry.
type Info struct {
	Level Level `json:"level"`
	// Revision is the commit from which the build was made, or empty if it is not known.
	Revision string `json:"revision,omitempty"`
}

// Supports reports whether the build has the features of a level.
func (i Info) Supports(l Level) bool { return i.Level >= l }
