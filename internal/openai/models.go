package openai

import (
	"encoding/json"
	"net/http"

	"github.com/lotusward/lotusward/internal/bearer"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/relay"
)

// modelOwner is what the list of models names as their owner.
const modelOwner = "lotusward"

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

func (h *Handler) listModels(writer http.ResponseWriter, request *http.Request) {
	state := h.options.Control.State()
	if state == nil {
		failureOf(relay.Refusal{Kind: relay.RefusalNotRun, Reason: "no_configuration"}).write(writer)
		return
	}
	if state.Table.RequiresKey() && state.Table.Tenant(bearer.Key(request.Header)) == nil {
		failureOf(relay.Refusal{Kind: relay.RefusalUnknownKey}).write(writer)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range state.Table.Configuration().Services {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: modelOwner})
		}
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(list) // a caller that has left needs no answer
}
