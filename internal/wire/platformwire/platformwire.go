// Package platformwire is the interface of the platform's services on the wire:
// the transactional table service, the object store, the weight store and the
// machine list. All bodies are JSON but for objects, which are plain bytes.
package platformwire

import "github.com/lotusward/lotusward/internal/core/identity"

// Paths of the platform's services.
const (
	// PathTableRead takes POST with a ReadRequest and answers with a ReadResponse.
	PathTableRead = "/table/v1/read"
	// PathTableScan takes POST with a ScanRequest and answers with a ReadResponse.
	PathTableScan = "/table/v1/scan"
	// PathTableCommit takes POST with a Transaction and answers with a
	// CommitResponse, or with 409 and a ConflictResponse.
	PathTableCommit = "/table/v1/commit"
	// PathObjects takes PUT, GET and DELETE on PathObjects + key.
	PathObjects = "/objects/v1/"
	// PathWeights answers GET on PathWeights + model + "/" + version.
	PathWeights = "/weights/v1/"
	// PathMachines answers GET with a MachineList. It may give an ETag, and then
	// answers 304 to a GET with that tag in If-None-Match.
	PathMachines = "/machines/v1"
)

// Row is one row of the table. Version counts the writes to the row, from 1;
// version 0 in a condition means that the row must not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// ReadRequest asks for rows by key, read together at one moment.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for the rows whose key starts with Prefix and is greater than
// After, in key order, at most Limit of them.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// ReadResponse holds the rows that exist.
type ReadResponse struct {
	Rows []Row `json:"rows"`
}

// Condition must hold for a transaction to commit.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write puts or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction commits all its writes or none.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// CommitResponse tells the new versions of the written rows.
type CommitResponse struct {
	Rows []Row `json:"rows"`
}

// ConflictResponse holds the rows whose conditions failed, as they are now.
type ConflictResponse struct {
	Rows []Row `json:"rows"`
}

// MachineState is what the platform believes of a machine.
type MachineState string

// The states of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is one back end in the machine list.
type Machine struct {
	ID      identity.BackendID   `json:"id"`
	Kind    identity.BackendKind `json:"kind"`
	Service identity.ServiceName `json:"service"`
	Zone    identity.Zone        `json:"zone"`
	// Address is IP:port.
	Address string       `json:"address"`
	State   MachineState `json:"state"`
}

// MachineList is the platform's lagging list of machines.
type MachineList struct {
	Version  uint64    `json:"version"`
	Machines []Machine `json:"machines"`
}
