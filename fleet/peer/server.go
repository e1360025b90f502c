// Package peer provides calls between the hosts of a fleet: the service on each
// host's peer address and the HTTP client for it. All hosts share a secret that
// authenticates the calls.
package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"

	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
)

// maxMessageBytes limits the size of a message between hosts.
const maxMessageBytes = 64 << 20

// minCompressBytes is the size from which messages are compressed. The many small
// messages stay uncompressed, because a compressor needs almost a megabyte of memory.
const minCompressBytes = 4 << 10

// Pinger answers probes. Package member implements it.
type Pinger interface {
	Ping(context.Context, *connect.Request[peerpb.PingRequest]) (*connect.Response[peerpb.PingResponse], error)
}

// ShardServer serves calls about shards. Package shard implements it.
type ShardServer interface {
	Submit(context.Context, *connect.Request[peerpb.SubmitRequest]) (*connect.Response[peerpb.SubmitResponse], error)
	ShardState(context.Context, *connect.Request[peerpb.ShardStateRequest]) (*connect.Response[peerpb.ShardStateResponse], error)
}

// GrantServer serves calls about the grants of this host. Package grants implements it.
type GrantServer interface {
	Recall(context.Context, *connect.Request[peerpb.RecallRequest]) (*connect.Response[peerpb.RecallResponse], error)
	Holdings(context.Context, *connect.Request[peerpb.HoldingsRequest]) (*connect.Response[peerpb.HoldingsResponse], error)
}

// SettingsServer serves newer settings. Package settingswatch implements it.
type SettingsServer interface {
	Settings(context.Context, *connect.Request[peerpb.SettingsRequest]) (*connect.Response[peerpb.SettingsResponse], error)
}

// AnswerServer serves stored answers and runs requests for other hosts. Package
// gateway implements it.
type AnswerServer interface {
	Answer(context.Context, *connect.Request[peerpb.AnswerRequest], *connect.ServerStream[peerpb.AnswerEvent]) error
	Forward(context.Context, *connect.Request[peerpb.ForwardRequest], *connect.ServerStream[peerpb.AnswerEvent]) error
}

// QuarantineServer exchanges quarantines. Package quarantine implements it.
type QuarantineServer interface {
	Quarantine(context.Context, *connect.Request[peerpb.QuarantineRequest]) (*connect.Response[peerpb.QuarantineResponse], error)
}

// Services are the implementations of the calls that a host serves.
type Services struct {
	Pinger
	ShardServer
	GrantServer
	SettingsServer
	AnswerServer
	QuarantineServer
}

type server struct {
	peerpbconnect.UnimplementedPeerServiceHandler
	Services
}

// Ping answers a probe.
func (s server) Ping(ctx context.Context, r *connect.Request[peerpb.PingRequest]) (*connect.Response[peerpb.PingResponse], error) {
	return s.Pinger.Ping(ctx, r)
}

// Submit passes operations to the owner of a shard.
func (s server) Submit(ctx context.Context, r *connect.Request[peerpb.SubmitRequest]) (*connect.Response[peerpb.SubmitResponse], error) {
	return s.ShardServer.Submit(ctx, r)
}

// ShardState returns a snapshot of a shard's fold.
func (s server) ShardState(ctx context.Context, r *connect.Request[peerpb.ShardStateRequest]) (*connect.Response[peerpb.ShardStateResponse], error) {
	return s.ShardServer.ShardState(ctx, r)
}

// Recall asks this host to return unused grants.
func (s server) Recall(ctx context.Context, r *connect.Request[peerpb.RecallRequest]) (*connect.Response[peerpb.RecallResponse], error) {
	return s.GrantServer.Recall(ctx, r)
}

// Holdings returns what this host has free and reserved of its grants.
func (s server) Holdings(ctx context.Context, r *connect.Request[peerpb.HoldingsRequest]) (*connect.Response[peerpb.HoldingsResponse], error) {
	return s.GrantServer.Holdings(ctx, r)
}

// Settings returns newer settings.
func (s server) Settings(ctx context.Context, r *connect.Request[peerpb.SettingsRequest]) (*connect.Response[peerpb.SettingsResponse], error) {
	return s.SettingsServer.Settings(ctx, r)
}

// Answer streams a stored answer.
func (s server) Answer(ctx context.Context, r *connect.Request[peerpb.AnswerRequest], out *connect.ServerStream[peerpb.AnswerEvent]) error {
	return s.AnswerServer.Answer(ctx, r, out)
}

// Forward runs a request for another host.
func (s server) Forward(ctx context.Context, r *connect.Request[peerpb.ForwardRequest], out *connect.ServerStream[peerpb.AnswerEvent]) error {
	return s.AnswerServer.Forward(ctx, r, out)
}

// Quarantine exchanges quarantines.
func (s server) Quarantine(ctx context.Context, r *connect.Request[peerpb.QuarantineRequest]) (*connect.Response[peerpb.QuarantineResponse], error) {
	return s.QuarantineServer.Quarantine(ctx, r)
}

// NewHandler returns the HTTP handler of a host's peer address. Calls without
// the secret get status 401.
func NewHandler(services Services, secret string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerServiceHandler(server{Services: services},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes)))
	return requireSecret(mux, secret)
}

func requireSecret(next http.Handler, secret string) http.Handler {
	want := []byte(bearer(secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "the peer secret is missing or wrong", http.StatusUnauthorized)
			return
		}
		end, ok := beginCall(r.Context())
		defer end()
		if !ok {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func bearer(secret string) string {
	return "Bearer " + secret
}
