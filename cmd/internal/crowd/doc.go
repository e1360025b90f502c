// Package crowd tests host processes against crowds of clients that do not stay inside the
// limits or do not end what they begin: no such crowd may end a process or take it beyond the
// memory and the descriptors of its machine, and other callers are still answered. The tests run
// one at a time and measure whole processes, so they run apart from other load.
package crowd
