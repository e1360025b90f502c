package settingscmd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/settingsapi"
)

const (
	defaultApplyWait = time.Minute
	statusInterval   = 500 * time.Millisecond
	publishInterval  = 2 * time.Second
	changeIDBytes    = 12
)

// applyOptions are the flags of apply.
type applyOptions struct {
	output  string
	id      string
	by      string
	message string
	wait    time.Duration
}

// applyResult is the JSON output of apply.
type applyResult struct {
	ID      string                   `json:"id,omitempty"`
	Version record.Offset            `json:"version"`
	InForce bool                     `json:"in_force"`
	Hosts   []settingsapi.HostStatus `json:"hosts,omitempty"`
}

func newApplyCommand(client *adminclient.Client) *cobra.Command {
	var o applyOptions
	cmd := &cobra.Command{
		Use:   "apply FOLDER|FILE",
		Short: "Publish declared settings and wait until they are in force on all hosts",
		Long: `Publishes the difference between the declared settings and those in force, and
waits until they are in force on every host that answers or is live.

If the outcome is unknown, retry with the printed --id: the change is applied once.
Exit codes: 0 in force, 1 published but not yet in force on all hosts, 2 invalid,
nothing published, 3 conflict with another change, 4 not published or outcome
unknown.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runApply(cmd, client, args[0], &o)
		},
	}
	o.addFlags(cmd)
	return cmd
}

func (o *applyOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&o.id, "id", "", "change ID that makes a retry idempotent (default random, printed)")
	flags.StringVar(&o.by, "by", os.Getenv("USER"), "operator's name, recorded in the history")
	flags.StringVarP(&o.message, "message", "m", "", "reason for the change, recorded in the history")
	flags.DurationVar(&o.wait, "wait", defaultApplyWait, "how long to wait until the change is in force on all hosts")
	cli.AddOutputFlag(cmd, &o.output)
}

func runApply(cmd *cobra.Command, client *adminclient.Client, path string, o *applyOptions) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), o.wait)
	defer cancel()
	p, err := newPlan(ctx, client, path)
	if err != nil {
		return writeFaults(cmd, o.output, err)
	}
	return publishPlan(ctx, cmd, client, p, o)
}

// publishPlan publishes a plan's changes and waits until they are in force.
func publishPlan(ctx context.Context, cmd *cobra.Command, client *adminclient.Client, p *plan, o *applyOptions) error {
	progress := cmd.ErrOrStderr()
	if p.Empty() {
		_, _ = fmt.Fprintf(progress, "no changes against version %d\n", p.Base)
		return writeApplied(cmd, o.output, applyResult{Version: p.Base, InForce: true})
	}
	change, err := newChange(p, o)
	if err != nil {
		return err
	}
	_ = p.write(progress, cli.OutputTable)
	_, _ = fmt.Fprintf(progress, "publishing change %s\n", change.ID)
	decision, err := publish(ctx, client, change, progress)
	if err != nil {
		return withExitCode(err)
	}
	_, _ = fmt.Fprintf(progress, "version %d accepted\n", decision.Offset)
	return awaitInForce(ctx, cmd, client, o, applyResult{ID: change.ID, Version: decision.Offset})
}

func newChange(p *plan, o *applyOptions) (*settingsapi.Change, error) {
	change := &settingsapi.Change{ID: o.id, Base: p.Base, By: o.by, Message: o.message}
	if change.ID == "" {
		id := make([]byte, changeIDBytes)
		if _, err := rand.Read(id); err != nil {
			return nil, fmt.Errorf("change ID: %w", err)
		}
		change.ID = hex.EncodeToString(id)
	}
	for _, e := range p.edits {
		change.Edits = append(change.Edits, settingsapi.Edit{Path: e.Path, Value: e.Value})
	}
	return change, nil
}

// publish sends the change until its outcome is known or ctx ends. A retry is safe,
// since the change ID makes it idempotent.
func publish(ctx context.Context, client *adminclient.Client, change *settingsapi.Change, progress io.Writer) (*settingsapi.Decision, error) {
	for {
		var decision settingsapi.Decision
		err := client.Post(ctx, "/v1/settings/changes", change, &decision)
		if err == nil {
			return &decision, nil
		}
		if !isRetryable(err) {
			return nil, err
		}
		_, _ = fmt.Fprintf(progress, "not confirmed yet, trying again: %v\n", withExitCode(err))
		select {
		case <-time.After(publishInterval):
		case <-ctx.Done():
			return nil, cli.Exit(cli.ExitUnreachable, fmt.Errorf("change %s: outcome unknown, repeat with --id %s: %w", change.ID, change.ID, err))
		}
	}
}

func isRetryable(err error) bool {
	if p, ok := problemFrom(err); ok {
		return p.Status == http.StatusServiceUnavailable || p.Status == http.StatusGatewayTimeout
	}
	var exit *cli.ExitError
	return errors.As(err, &exit) && exit.Code == cli.ExitUnreachable
}

// awaitInForce waits until the version is in force on all hosts that are not presumed
// down, and prints a line for each host on which it is. If ctx ends first, the error
// has the exit code ExitFailed.
func awaitInForce(ctx context.Context, cmd *cobra.Command, client *adminclient.Client, o *applyOptions, result applyResult) error {
	start := time.Now()
	done := make(map[record.HostID]bool)
	for {
		var status settingsapi.Status
		if err := client.Get(ctx, "/v1/status", &status); err == nil {
			result.Hosts = status.Hosts
			result.InForce = reportHosts(cmd.ErrOrStderr(), status.Hosts, result.Version, done, time.Since(start))
		}
		if result.InForce {
			return writeApplied(cmd, o.output, result)
		}
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
			_ = writeApplied(cmd, o.output, result)
			return cli.Exit(cli.ExitFailed, fmt.Errorf("version %d is accepted and not yet in force on: %s", result.Version, pendingHosts(result)))
		}
	}
}

// reportHosts prints a line for each host on which the version has come into force
// since the last call, and reports whether it is in force on all hosts that are not
// presumed down.
func reportHosts(w io.Writer, hosts []settingsapi.HostStatus, version record.Offset, done map[record.HostID]bool, elapsed time.Duration) bool {
	all := len(hosts) > 0
	for _, h := range hosts {
		switch {
		case h.Version >= version && !done[h.ID]:
			done[h.ID] = true
			_, _ = fmt.Fprintf(w, "  %s: version %d in force after %s\n", h.ID, h.Version, elapsed.Round(time.Millisecond))
		case h.Version < version && !presumedDown(h):
			all = false
		}
	}
	return all
}

// presumedDown reports whether a host doesn't answer and isn't live in the host list.
func presumedDown(h settingsapi.HostStatus) bool {
	return !h.Answers && h.State != "live"
}

func pendingHosts(result applyResult) string {
	names := ""
	for _, h := range result.Hosts {
		if h.Version < result.Version && !presumedDown(h) {
			names += fmt.Sprintf(" %s (version %d, answers: %t)", h.ID, h.Version, h.Answers)
		}
	}
	if names == "" {
		return " hosts that could not be listed"
	}
	return names
}

func writeApplied(cmd *cobra.Command, output string, result applyResult) error {
	return cli.Table{
		Header: []string{"CHANGE", "VERSION", "IN FORCE", "HOSTS"},
		Rows:   [][]string{{result.ID, fmt.Sprint(result.Version), fmt.Sprint(result.InForce), fmt.Sprint(len(result.Hosts))}},
		Data:   result,
	}.Write(cmd.OutOrStdout(), output)
}
