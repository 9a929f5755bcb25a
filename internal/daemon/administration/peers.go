package administration

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/lotusward/lotusward/internal/adapter/adminhttp"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
)

// PathTable is the call by which a daemon asks another for its part of a table.
const PathTable = "/administration/table"

// callsAtOnce bounds the calls that one question makes at the same time.
const callsAtOnce = 64

// TableRequest asks a daemon for its own part of a table.
type TableRequest struct {
	Source query.Source `msgpack:"source"`
}

// TableResponse is a daemon's own part of a table.
type TableResponse struct {
	Table query.Table `msgpack:"table"`
}

// Member is another daemon of the deployment.
type Member struct {
	ID identity.DaemonID
	// Address is IP:port for peer calls.
	Address string
	// Dead members are not asked; they count as missing.
	Dead bool
}

// Caller sends a call to a daemon; the client of package peer implements it.
type Caller interface {
	Call(ctx context.Context, address, path string, request, response any) error
}

// Peers implements adminhttp.Peers by calls to all other daemons.
type Peers struct {
	// Others lists the other daemons, dead ones included, without those that left
	// in order. It must be safe for use by any goroutine.
	Others func() []Member
	Caller Caller
}

// Tables implements adminhttp.Peers.
func (p *Peers) Tables(ctx context.Context, source query.Source) adminhttp.PeerTables {
	var mutex sync.Mutex
	var answers adminhttp.PeerTables
	var group errgroup.Group
	group.SetLimit(callsAtOnce)
	for _, member := range p.Others() {
		group.Go(func() error {
			table, answered := p.ask(ctx, member, source)
			mutex.Lock()
			defer mutex.Unlock()
			if answered {
				answers.Tables = append(answers.Tables, table)
			} else {
				answers.Missing = append(answers.Missing, member.ID)
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answers
}

func (p *Peers) ask(ctx context.Context, member Member, source query.Source) (query.Table, bool) {
	if member.Dead {
		return query.Table{}, false
	}
	var response TableResponse
	err := p.Caller.Call(ctx, member.Address, PathTable, TableRequest{Source: source}, &response)
	// An answer of another version of the program has other columns, perhaps.
	return response.Table, err == nil && response.Table.Verify(source) == nil
}

// HandleTable answers the calls of other daemons from this daemon's handler.
func HandleTable(handler *adminhttp.Handler) func(context.Context, TableRequest) (TableResponse, error) {
	return func(ctx context.Context, request TableRequest) (TableResponse, error) {
		table, err := handler.LocalTable(ctx, request.Source)
		if request.Source == query.SourceEngines || request.Source == query.SourceBackends {
			table = query.DropUnobserved(table)
		}
		return TableResponse{Table: table}, err
	}
}
