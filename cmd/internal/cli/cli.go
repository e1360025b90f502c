// Package cli has the exit codes, the output formats and the error handling that
// hazelworks and hazelctl share.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Exit codes of both binaries.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command ran and failed.
	ExitFailed = 1
	// ExitUsage means that arguments, settings or files are invalid; nothing was done.
	ExitUsage = 2
	// ExitConflict means that the change conflicts with another one.
	ExitConflict = 3
	// ExitUnreachable means that the fleet could not be reached.
	ExitUnreachable = 4
	// ExitChanges means that a plan found changes.
	ExitChanges = 5
)

// ExitError is an error with the exit code of the process.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the cause.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Exit returns an error with an exit code. It doesn't end the process.
func Exit(code int, err error) error {
	return &ExitError{Code: code, Err: err}
}

// Main runs a root command and returns the exit code of the process: that of an
// *ExitError, or ExitFailed for any other error. Errors are printed to stderr.
func Main(root *cobra.Command, stderr io.Writer) int {
	root.SilenceErrors = true
	root.SilenceUsage = true
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return Exit(ExitUsage, err)
	})
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, strings.TrimRight(err.Error(), "\n"))
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}

// Output formats.
const (
	OutputTable = "table"
	OutputJSON  = "json"
)

// AddOutputFlag adds the flag --output, whose value is stored in output.
func AddOutputFlag(cmd *cobra.Command, output *string) {
	cmd.Flags().StringVarP(output, "output", "o", OutputTable, "output format: table or json")
}

// Table is the output of a command: Header and Rows as columns, or Data as JSON.
type Table struct {
	Header []string
	Rows   [][]string
	Data   any
}

// Write writes the table as OutputTable or OutputJSON. Another format is an error
// with the exit code ExitUsage.
func (t Table) Write(w io.Writer, format string) error {
	switch format {
	case OutputJSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(t.Data)
	case OutputTable:
		return t.writeColumns(w)
	default:
		return Exit(ExitUsage, fmt.Errorf("--output %q: want table or json", format))
	}
}

func (t Table) writeColumns(w io.Writer) error {
	columns := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(columns, strings.Join(t.Header, "\t"))
	for _, row := range t.Rows {
		_, _ = fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	return columns.Flush()
}
