package replay

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/settings"
)

// tree is a trace's settings with keys and URLs filled in.
type tree struct {
	root     *jsontree.Node
	resolved *settings.Resolved
}

// accountKey is the key that the callers of an account use.
func accountKey(account string) string { return "key of " + account }

// fillSettings gives each account a key and each upstream an address.
func fillSettings(raw json.RawMessage) (*tree, error) {
	var root map[string]any
	if err := json.Unmarshal(raw, &root); err != nil {
		return nil, err
	}
	next := 0
	firms, _ := root["firms"].(map[string]any)
	for _, firm := range sortedKeys(firms) {
		fillAccounts(firm, child(firms, firm))
		services := child(child(firms, firm), "services")
		for _, service := range sortedKeys(services) {
			fillUpstreams(child(child(services, service), "upstreams"), &next)
		}
	}
	data, err := json.Marshal(root)
	if err != nil {
		return nil, err
	}
	file := settings.File{Name: settings.RootFile + ".json", DisplayName: "settings", Data: data}
	node, resolved, err := settings.Load([]settings.File{file})
	if err != nil {
		return nil, err
	}
	return &tree{root: node, resolved: resolved}, nil
}

func fillAccounts(firm string, values map[string]any) {
	accounts := child(values, "accounts")
	for name := range accounts {
		if account := child(accounts, name); account["keys"] == nil {
			hash := sha256.Sum256([]byte(accountKey(firm + "/" + name)))
			account["keys"] = []string{settings.KeyPrefix + hex.EncodeToString(hash[:])}
		}
	}
}

func fillUpstreams(upstreams map[string]any, next *int) {
	for _, name := range sortedKeys(upstreams) {
		*next++
		if upstream := child(upstreams, name); upstream["url"] == nil {
			upstream["url"] = fmt.Sprintf("http://10.1.0.%d:8000", *next)
		}
	}
}

func child(values map[string]any, name string) map[string]any {
	c, _ := values[name].(map[string]any)
	return c
}

func sortedKeys(values map[string]any) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
