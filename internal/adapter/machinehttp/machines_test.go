package machinehttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/machinehttp"
	"github.com/lotusward/lotusward/internal/standin/platform"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// A list that did not change is not sent again, and one that did is.
func TestOnlyAChangedListIsSentAgain(t *testing.T) {
	service := platform.New(platform.Options{})
	var statuses []int
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		recorded := httptest.NewRecorder()
		service.Handler().ServeHTTP(recorded, request)
		statuses = append(statuses, recorded.Code)
		for name, values := range recorded.Header() {
			writer.Header()[name] = values
		}
		writer.WriteHeader(recorded.Code)
		_, _ = writer.Write(recorded.Body.Bytes()) // a failure shows at the client
	}))
	defer server.Close()
	client := machinehttp.New(server.URL, nil)
	for round, id := range []string{"", "", "engine-1", ""} {
		if id != "" {
			service.PutMachine(platformwire.Machine{ID: "engine-1", State: platformwire.MachineLive})
		}
		list, err := client.Machines(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(list.Machines), round/2)
	}
	assert.DeepEqual(t, statuses, []int{200, 304, 200, 304})
}
