package config

import (
	"net/netip"
	"regexp"
	"strings"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// requiredPaths are the paths of the settings that have no default.
var requiredPaths = []string{
	"host/id", "host/region", "host/failure_domain",
	"listen/caller", "listen/peer", "listen/admin",
	"platform/log_urls", "platform/host_list_url",
	"secrets/peer", "secrets/operator",
}

// checker reports settings that are missing, malformed or contradict each other.
type checker struct {
	cfg  *Config
	root *jsontree.Node
	list *findings.List
}

func check(cfg *Config, root *jsontree.Node, list *findings.List) {
	c := checker{cfg, root, list}
	c.checkRequired()
	c.checkNames()
	c.checkListen()
	c.checkAdvertise("advertise/caller", cfg.Advertise.Caller)
	c.checkAdvertise("advertise/peer", cfg.Advertise.Peer)
	c.checkCombinations()
}

// position returns the position of the value at path or, if the document has no
// such value, of its nearest enclosing value.
func (c *checker) position(path string) findings.Position {
	for {
		if n := c.root.Find(path); n != nil {
			return n.At
		}
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return c.root.At
		}
		path = path[:i]
	}
}

func (c *checker) addf(path, format string, args ...any) {
	c.list.Addf(c.position(path), path, format, args...)
}

func (c *checker) checkRequired() {
	for _, path := range requiredPaths {
		if c.root.Find(path) == nil {
			c.addf(path, "missing")
		}
	}
	if urls := c.root.Find("platform/log_urls"); urls != nil && urls.Kind == jsontree.Array && len(urls.Elements) == 0 {
		c.addf("platform/log_urls", "must name at least one URL")
	}
}

func (c *checker) checkNames() {
	names := map[string]string{
		"host/id":             string(c.cfg.Host.ID),
		"host/region":         c.cfg.Host.Region,
		"host/failure_domain": c.cfg.Host.FailureDomain,
	}
	for path, name := range names {
		node := c.root.Find(path)
		if node != nil && node.Kind == jsontree.String && !namePattern.MatchString(name) {
			c.addf(path, "want letters, digits, dots, underscores and hyphens, at most 63, got %q", name)
		}
	}
}

func (c *checker) checkListen() {
	listen := c.cfg.Listen
	pairs := []struct {
		path, other string
		a, b        netip.AddrPort
	}{
		{"listen/peer", "listen/caller", listen.Peer, listen.Caller},
		{"listen/admin", "listen/caller", listen.Admin, listen.Caller},
		{"listen/admin", "listen/peer", listen.Admin, listen.Peer},
	}
	for _, p := range pairs {
		if collide(p.a, p.b) {
			c.addf(p.path, "%s is already taken by %s", p.a, p.other)
		}
	}
}

// collide reports whether two listen addresses conflict: they have the same port,
// and the same IP address or one that is unspecified. Port 0 conflicts with none.
func collide(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c *checker) checkAdvertise(path string, addr netip.AddrPort) {
	if !addr.IsValid() {
		return
	}
	if addr.Addr().IsUnspecified() {
		c.addf(path, "others cannot connect to %s, name the address that they use", addr)
	}
	if c.root.Find(path) != nil && addr.Port() == 0 {
		c.addf(path, "port 0 cannot be connected to")
	}
}

func (c *checker) checkCombinations() {
	cfg := c.cfg
	if cfg.Secrets.Peer != "" && cfg.Secrets.Peer == cfg.Secrets.Operator {
		c.addf("secrets/operator", "must differ from secrets/peer")
	}
	if cfg.Timeouts.Connect > cfg.Timeouts.PeerCall {
		c.addf("timeouts/connect", "%s exceeds timeouts/peer_call of %s", cfg.Timeouts.Connect, cfg.Timeouts.PeerCall)
	}
	if cfg.Timeouts.Drain < cfg.Timeouts.EntryTTL {
		c.addf("timeouts/drain", "%s is shorter than timeouts/entry_ttl of %s: callers would come to a stopped host",
			cfg.Timeouts.Drain, cfg.Timeouts.EntryTTL)
	}
}
