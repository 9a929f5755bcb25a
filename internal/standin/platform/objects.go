package platform

import (
	"net/http"
	"strings"
	"sync"

	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// objectStore keeps large values by key, in memory.
type objectStore struct {
	mutex   sync.Mutex
	objects map[string][]byte
}

// newObjectStore makes an empty store.
func newObjectStore() *objectStore {
	return &objectStore{objects: map[string][]byte{}}
}

// serve answers PathObjects.
func (s *objectStore) serve(request *http.Request, body []byte) answer {
	key := strings.TrimPrefix(request.URL.Path, platformwire.PathObjects)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch request.Method {
	case http.MethodPut:
		s.objects[key] = body
		return answer{status: http.StatusNoContent, wrote: true}
	case http.MethodDelete:
		delete(s.objects, key)
		return answer{status: http.StatusNoContent, wrote: true}
	case http.MethodGet:
		object, exists := s.objects[key]
		if !exists {
			return answer{status: http.StatusNotFound, body: []byte("no such object")}
		}
		return answer{status: http.StatusOK, body: object}
	default:
		return answer{status: http.StatusMethodNotAllowed, body: []byte("use PUT, GET or DELETE")}
	}
}
