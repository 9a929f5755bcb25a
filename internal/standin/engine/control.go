package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/core/prefix"
	"github.com/lotusward/lotusward/internal/standin/backend"
	"github.com/lotusward/lotusward/internal/standin/engine/model"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// exportedKV is the body of a KV export. Real engines put the blocks themselves
// behind the hashes; the stand-in has none.
type exportedKV struct {
	Chain prefix.Chain `msgpack:"chain"`
}

func (l *life) serveStatus(writer http.ResponseWriter, _ *http.Request) {
	status := l.Status()
	status.Role = l.driver.currentRole()
	status.Models = l.driver.models()
	status.Load = l.driver.load()
	backend.WriteJSON(writer, http.StatusOK, status)
}

func (l *life) serveCancel(writer http.ResponseWriter, request *http.Request) {
	var cancelled enginewire.CancelRequest
	if err := json.NewDecoder(request.Body).Decode(&cancelled); err != nil {
		l.Refuse(writer, enginewire.CodeInvalidRequest, err.Error())
		return
	}
	l.driver.cancel(model.Key{RequestID: cancelled.RequestID, Attempt: cancelled.Attempt})
	writer.WriteHeader(http.StatusNoContent)
}

func (l *life) serveOrder(writer http.ResponseWriter, request *http.Request) {
	order, accepted := l.ReadOrder(writer, request)
	if !accepted {
		return
	}
	if !l.apply(order) {
		l.Refuse(writer, enginewire.CodeInvalidRequest, "unknown kind of order")
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// apply carries out an order. Each kind has the same effect when given twice.
func (l *life) apply(order enginewire.Order) bool {
	switch order.Kind {
	case enginewire.OrderLoadModel:
		wanted := ModelVersion{Model: order.Model, Version: order.Version}
		l.driver.want(wanted)
		l.loads <- wanted
	case enginewire.OrderUnloadModel:
		l.driver.unload(order.Model)
	case enginewire.OrderLoadAdapter, enginewire.OrderUnloadAdapter:
		present := order.Kind == enginewire.OrderLoadAdapter
		l.driver.change(func(_ time.Time, engine *model.Engine) {
			engine.SetAdapter(order.Model, order.Adapter, present)
		})
	case enginewire.OrderSetRole:
		l.driver.setRole(order.Role)
	case enginewire.OrderLeave:
		l.SetState(enginewire.StateLeaving)
	case enginewire.OrderReturn:
		l.SetState(enginewire.StateServing)
	default:
		return false
	}
	return true
}

func (l *life) serveExport(writer http.ResponseWriter, request *http.Request) {
	last, err := prefix.ParseHash(request.URL.Query().Get("block"))
	if err != nil {
		l.Refuse(writer, enginewire.CodeInvalidRequest, err.Error())
		return
	}
	chain := l.driver.exportChain(request.Context(), last)
	l.SetHeaders(writer.Header())
	if len(chain) == 0 {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	_ = msgpack.NewEncoder(writer).Encode(exportedKV{Chain: chain})
}

func (l *life) serveImport(writer http.ResponseWriter, request *http.Request) {
	var exported exportedKV
	body := http.MaxBytesReader(writer, request.Body, maxBodyBytes)
	if err := msgpack.NewDecoder(body).Decode(&exported); err != nil {
		l.Refuse(writer, enginewire.CodeInvalidRequest, err.Error())
		return
	}
	l.driver.importChain(request.Context(), exported.Chain)
	l.SetHeaders(writer.Header())
	writer.WriteHeader(http.StatusNoContent)
}
