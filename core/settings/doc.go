// Package settings implements the fleet's settings tree: parsing of declaration
// files, validation, inheritance from co-operative to firm to service, and the
// fold that applies changes in log order. It does no I/O.
package settings
