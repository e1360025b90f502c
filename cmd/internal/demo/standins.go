package demo

import (
	"bytes"
	"crypto/sha256"
	_ "embed" // for the settings tree
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"text/template"
	"time"

	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/standin/engine"
	"github.com/hazelworks/hazelworks/standin/hostlist"
	"github.com/hazelworks/hazelworks/standin/loghttp"
	"github.com/hazelworks/hazelworks/standin/memlog"
	"github.com/hazelworks/hazelworks/standin/plain"
	"github.com/hazelworks/hazelworks/standin/weights"
)

//go:embed tree.jsonc
var treeTemplate string

const (
	engineCount        = 2
	appendLatency      = 2 * time.Millisecond
	firstTokenDelay    = 50 * time.Millisecond
	tokenInterval      = 20 * time.Millisecond
	weightTransfers    = 2
	weightTransferTime = time.Second
)

// standins are the stand-ins for the platform and the upstreams.
type standins struct {
	hostList    *hostlist.List
	platformURL string
	engines     []*engine.Engine
	engineURLs  []string
	plain       *plain.Service
	plainURL    string
	servers     []*http.Server
}

func startStandins() (*standins, error) {
	s := &standins{hostList: hostlist.New(0), plain: plain.New("bookings")}
	services := loghttp.Services{
		Log:     memlog.New(memlog.Options{Latency: appendLatency}),
		Hosts:   s.hostList,
		Weights: weights.New(weightTransfers, weightTransferTime),
	}
	var err error
	if s.platformURL, err = s.serve(loghttp.Handler(services)); err != nil {
		return nil, err
	}
	for i := range engineCount {
		e := engine.New(engine.Options{
			Name:          fmt.Sprintf("engine-%d", i),
			Models:        []string{modelName},
			FirstToken:    firstTokenDelay,
			TokenInterval: tokenInterval,
		})
		url, err := s.serve(e.Handler())
		if err != nil {
			return nil, err
		}
		s.engines = append(s.engines, e)
		s.engineURLs = append(s.engineURLs, url)
	}
	s.plainURL, err = s.serve(s.plain.Handler())
	return s, err
}

// serve starts a server on a free loopback port and returns its URL.
func (s *standins) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("open a loopback address: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (s *standins) stop() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// treeFiles returns the demo's settings tree as files, with URLs and the key's hash
// filled in.
func (s *standins) treeFiles() ([]settings.File, error) {
	hash := sha256.Sum256([]byte(accountKey))
	values := struct {
		KeyHash string
		Engines []string
		Plain   string
	}{settings.KeyPrefix + hex.EncodeToString(hash[:]), s.engineURLs, s.plainURL}
	parsed, err := template.New("tree").Parse(treeTemplate)
	if err != nil {
		return nil, fmt.Errorf("demo settings: %w", err)
	}
	var out bytes.Buffer
	if err := parsed.Execute(&out, values); err != nil {
		return nil, fmt.Errorf("demo settings: %w", err)
	}
	name := settings.RootFile + ".jsonc"
	return []settings.File{{Name: name, DisplayName: name, Data: out.Bytes()}}, nil
}
