// Package settings holds the fleet's settings tree: its declaration files,
// validation, inheritance from co-operative to firm to service, and the fold of
// changes in log order. It does no I/O.
package settings
