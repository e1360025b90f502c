package admin

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

const secret = "an operator secret"

func get(s *Server, path, authorization string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, path, nil)
	request.Header.Set("Authorization", authorization)
	recorder := httptest.NewRecorder()
	s.Handler().ServeHTTP(recorder, request)
	return recorder
}

func TestOperatorSecretGuardsTheAPI(t *testing.T) {
	s := New(secret, metrics.NewRegistry())
	for _, path := range []string{"/metrics", "/metrics.json", "/v1/status"} {
		require.Equal(t, http.StatusUnauthorized, get(s, path, "").Code, path)
		require.Equal(t, http.StatusUnauthorized, get(s, path, "Bearer wrong").Code, path)
	}
	require.Equal(t, http.StatusOK, get(s, "/metrics", "Bearer "+secret).Code)
	require.Equal(t, http.StatusOK, get(s, "/healthz", "").Code)
}

func TestReadiness(t *testing.T) {
	s := New(secret, metrics.NewRegistry())
	require.Equal(t, http.StatusServiceUnavailable, get(s, "/readyz", "").Code)
	s.SetReadinessCheck(func() error { return errors.New("no settings yet") })
	require.Contains(t, get(s, "/readyz", "").Body.String(), "no settings yet")
	s.SetReadinessCheck(func() error { return nil })
	require.Equal(t, http.StatusOK, get(s, "/readyz", "").Code)
}

func TestPrometheusText(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("gateway.requests", registry).Inc(3)
	metrics.GetOrRegisterTimer("gateway.first-token", registry).Update(2 * time.Second)
	text := get(New(secret, registry), "/metrics", "Bearer "+secret).Body.String()
	require.Contains(t, text, "hazelworks_gateway_requests 3\n")
	require.Contains(t, text, "hazelworks_gateway_first_token_seconds{quantile=\"0.5\"} 2\n")
}
