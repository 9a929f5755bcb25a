package healthhttp_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/healthhttp"
)

func TestReadinessListsItsReasonsAndHealthStaysUp(t *testing.T) {
	reasons := []string{"no configuration yet", "stopping"}
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "lotusward_test_total"}))
	handler := healthhttp.New(healthhttp.ReadinessFunc(func() []string { return reasons }), registry)
	get := func(path string) (int, string) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder.Code, recorder.Body.String()
	}
	status, body := get("/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "not ready\nno configuration yet\nstopping\n")
	status, _ = get("/healthz")
	assert.Equal(t, status, http.StatusOK)
	reasons = nil
	status, body = get("/readyz")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "ready\n")
	status, body = get("/metrics")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(body, "lotusward_test_total 0"))
}
