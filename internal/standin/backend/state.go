package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// begin starts a life in a larger incarnation than any before.
func (s *Server) begin(state enginewire.State) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := uint64(time.Now().UnixMicro())
	s.incarnation = identity.Incarnation(max(now, uint64(s.incarnation)+1, s.stateVersion+1))
	s.stateVersion = uint64(s.incarnation)
	s.state = state
	s.fence = 0
}

// Incarnation is the present life's incarnation.
func (s *Server) Incarnation() identity.Incarnation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.incarnation
}

// State is what the back end says about taking work.
func (s *Server) State() enginewire.State {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state
}

// SetState changes the state and raises its version.
func (s *Server) SetState(state enginewire.State) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.setState(state)
}

func (s *Server) setState(state enginewire.State) {
	if s.state == state {
		return
	}
	s.state = state
	s.stateVersion = max(s.stateVersion+1, uint64(time.Now().UnixMicro()))
}

// SetReady turns a loading back end into a serving one.
func (s *Server) SetReady() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.state == enginewire.StateLoading {
		s.setState(enginewire.StateServing)
	}
}

// ReadOrder reads an order of the fleet controller. It answers a request that is
// not an order, and an order of an earlier holder of the lease, itself, and returns
// false for them.
func (s *Server) ReadOrder(writer http.ResponseWriter, request *http.Request) (enginewire.Order, bool) {
	var order enginewire.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		s.Refuse(writer, enginewire.CodeInvalidRequest, err.Error())
		return enginewire.Order{}, false
	}
	if !s.acceptFence(order.Fence) {
		s.Refuse(writer, enginewire.CodeStaleFence, "a newer order was seen")
		return enginewire.Order{}, false
	}
	return order, true
}

// acceptFence takes an order's fencing token. It returns false when a newer one
// was seen in this life.
func (s *Server) acceptFence(fence identity.FencingToken) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if fence < s.fence {
		return false
	}
	s.fence = fence
	return true
}

// Status is the common part of the status report.
func (s *Server) Status() enginewire.Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return enginewire.Status{
		Backend:      s.options.ID,
		Kind:         s.options.Kind,
		Incarnation:  s.incarnation,
		State:        s.state,
		StateVersion: s.stateVersion,
	}
}

// SetHeaders writes the headers that every answer of a back end has.
func (s *Server) SetHeaders(header http.Header) {
	status := s.Status()
	header.Set(enginewire.HeaderIncarnation, strconv.FormatUint(uint64(status.Incarnation), 10))
	header.Set(enginewire.HeaderStateVersion, strconv.FormatUint(status.StateVersion, 10))
	if status.State == enginewire.StateLeaving {
		header.Set(enginewire.HeaderLeaving, "true")
	}
}
