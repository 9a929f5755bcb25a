package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/platformwire"
)

// machineChange is the machine list as it was from one moment on.
type machineChange struct {
	at   time.Time
	list platformwire.MachineList
}

// machineRegistry keeps the machine list and shows it with a lag. What it shows
// never goes back to an older version.
type machineRegistry struct {
	now    func() time.Time
	faults *faultState

	mutex    sync.Mutex
	machines map[identity.BackendID]platformwire.Machine
	version  uint64
	// pending are the changes that are not seen yet, oldest first.
	pending []machineChange
	shown   platformwire.MachineList
}

// newMachineRegistry makes an empty registry.
func newMachineRegistry(now func() time.Time, faults *faultState) *machineRegistry {
	return &machineRegistry{
		now:      now,
		faults:   faults,
		machines: map[identity.BackendID]platformwire.Machine{},
		shown:    platformwire.MachineList{Machines: []platformwire.Machine{}},
	}
}

// put adds or changes a machine.
func (r *machineRegistry) put(machine platformwire.Machine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.machines[machine.ID] = machine
	r.record()
}

// remove takes a machine off the list.
func (r *machineRegistry) remove(id identity.BackendID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.machines, id)
	r.record()
}

// record keeps the list as a change that will be seen. The caller holds the mutex.
func (r *machineRegistry) record() {
	r.version++
	list := platformwire.MachineList{Version: r.version, Machines: []platformwire.Machine{}}
	for _, machine := range r.machines {
		list.Machines = append(list.Machines, machine)
	}
	slices.SortFunc(list.Machines, func(a, b platformwire.Machine) int { return cmp.Compare(a.ID, b.ID) })
	r.pending = append(r.pending, machineChange{at: r.now(), list: list})
}

// list returns what is seen of the list now.
func (r *machineRegistry) list() platformwire.MachineList {
	settings, _ := r.faults.load()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if settings.MachinesFrozen {
		return r.shown
	}
	visible := r.now().Add(-milliseconds(settings.MachineLagMilliseconds))
	for len(r.pending) > 0 && !r.pending[0].at.After(visible) {
		r.shown = r.pending[0].list
		r.pending = r.pending[1:]
	}
	return r.shown
}

// serve answers PathMachines, shortly to a caller that has the list already.
func (r *machineRegistry) serve(request *http.Request, _ []byte) answer {
	list := r.list()
	tag := fmt.Sprintf("%q", strconv.FormatUint(list.Version, 10))
	if request.Header.Get("If-None-Match") == tag {
		return answer{status: http.StatusNotModified, entityTag: tag}
	}
	return answer{status: http.StatusOK, body: list, entityTag: tag}
}

// servePut answers POST on PathLabMachines.
func (r *machineRegistry) servePut(writer http.ResponseWriter, request *http.Request) {
	var machine platformwire.Machine
	if err := json.NewDecoder(request.Body).Decode(&machine); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if machine.ID == "" {
		http.Error(writer, "the machine has no id", http.StatusBadRequest)
		return
	}
	r.put(machine)
	writer.WriteHeader(http.StatusNoContent)
}

// serveRemove answers DELETE on PathLabMachines + "/" + id.
func (r *machineRegistry) serveRemove(writer http.ResponseWriter, request *http.Request) {
	r.remove(identity.BackendID(request.PathValue("id")))
	writer.WriteHeader(http.StatusNoContent)
}
