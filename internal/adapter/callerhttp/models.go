package callerhttp

import (
	"encoding/json"
	"net/http"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      identity.ModelName `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	OwnedBy string             `json:"owned_by"`
}

const modelOwner = "lotusward"

func (h *Handler) serveModels(exchange *exchange) *failure {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range exchange.view.Document.Models {
		list.Data = append(list.Data, modelItem{ID: model.Name, Object: "model", OwnedBy: modelOwner})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return unavailable(codeBackendFailed, identity.RunStateNotRun, 0, err.Error())
	}
	exchange.writer.Header().Set("Content-Type", "application/json")
	exchange.writer.WriteHeader(http.StatusOK)
	_, _ = exchange.writer.Write(body)
	h.metrics.requests.WithLabelValues(workModels, outcomeComplete).Inc()
	return nil
}
