// Package settingscmd implements the hazelctl commands that validate, publish and
// show the settings tree.
package settingscmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/adminclient"
	"github.com/hazelworks/hazelworks/cmd/internal/cli"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/settingsapi"
)

// Commands returns validate, plan, apply, drain, undrain, get, history, status,
// recover and key.
func Commands(client *adminclient.Client) []*cobra.Command {
	return []*cobra.Command{
		newValidateCommand(),
		newPlanCommand(client),
		newApplyCommand(client),
		newDrainCommand(client),
		newUndrainCommand(client),
		newGetCommand(client),
		newHistoryCommand(client),
		newStatusCommand(client),
		newRecoverCommand(client),
		newKeyCommand(),
	}
}

// ReadFiles reads the declaration files of a folder, without those in hidden
// folders, or one file that contains the whole tree. A folder without declaration
// files is an error.
func ReadFiles(path string) ([]settings.File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if !info.IsDir() {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		return []settings.File{{Name: settings.RootFile, DisplayName: path, Data: data}}, nil
	}
	return readFolder(path)
}

func readFolder(root string) ([]settings.File, error) {
	var files []settings.File
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if d.IsDir() || !settings.IsDeclaration(d.Name()) {
			return nil
		}
		file, err := readFile(root, path)
		files = append(files, file)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("settings: %s has no declaration files", root)
	}
	return files, nil
}

func readFile(root, path string) (settings.File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.File{}, err
	}
	name, err := filepath.Rel(root, path)
	if err != nil {
		return settings.File{}, err
	}
	return settings.File{Name: filepath.ToSlash(name), DisplayName: path, Data: data}, nil
}

// load reads and validates declarations. Its errors have the exit code ExitUsage.
func load(path string) (*jsontree.Node, *settings.Resolved, error) {
	files, err := ReadFiles(path)
	if err != nil {
		return nil, nil, cli.Exit(cli.ExitUsage, err)
	}
	tree, resolved, err := settings.Load(files)
	if err != nil {
		return nil, nil, cli.Exit(cli.ExitUsage, err)
	}
	return tree, resolved, nil
}

// problemFrom returns the problem document in an error answer of the operators' API,
// if there is one.
func problemFrom(err error) (*settingsapi.Problem, bool) {
	var status *adminclient.StatusError
	if !errors.As(err, &status) {
		return nil, false
	}
	var p settingsapi.Problem
	if json.Unmarshal(status.Body, &p) != nil || p.Title == "" {
		return nil, false
	}
	return &p, true
}

// withExitCode returns the error for a problem of the operators' API, with its exit
// code and its text. Other errors are returned unchanged.
func withExitCode(err error) error {
	p, ok := problemFrom(err)
	if !ok {
		return err
	}
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	if len(p.Findings) > 0 {
		text += ":\n" + strings.Join(p.Findings, "\n")
	}
	return cli.Exit(exitCode(p), errors.New(text))
}

func exitCode(p *settingsapi.Problem) int {
	switch p.Status {
	case http.StatusConflict:
		return cli.ExitConflict
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusNotFound:
		return cli.ExitUsage
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return cli.ExitUnreachable
	default:
		return cli.ExitFailed
	}
}
