package configuration

import (
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/revision"
)

// Paths of the calls between daemons.
const (
	PathHead = "/configuration/head"
	PathPull = "/configuration/pull"
	PathPush = "/configuration/push"
)

// Member is another daemon.
type Member struct {
	ID identity.DaemonID `msgpack:"id"`
	// Address is IP:port for peer calls.
	Address string `msgpack:"address"`
}

// HeadRequest asks a daemon how far it is.
type HeadRequest struct{}

// HeadResponse tells how far a daemon is.
type HeadResponse struct {
	Head revision.Head `msgpack:"head"`
	// Provisional is set while the daemon may know less than before its restart.
	Provisional bool `msgpack:"provisional"`
	// ConfirmedAge is how long ago the daemon had its last confirmation that no
	// newer revision was known. It means nothing while Provisional is set.
	ConfirmedAge time.Duration `msgpack:"confirmed_age"`
}

// PullRequest asks for what follows a revision.
type PullRequest struct {
	From identity.Revision `msgpack:"from"`
}

// PullResponse brings entries, or a snapshot when the log doesn't reach back.
type PullResponse struct {
	Head     revision.Head      `msgpack:"head"`
	Entries  []revision.Entry   `msgpack:"entries,omitempty"`
	Snapshot *revision.Snapshot `msgpack:"snapshot,omitempty"`
	// Busy is set when the daemon sends snapshots to enough others already.
	Busy bool `msgpack:"busy,omitempty"`
}

// PushRequest brings a new change, to be passed on to the targets.
type PushRequest struct {
	From Member `msgpack:"from"`
	// Revision is the newest revision that the sender has.
	Revision identity.Revision `msgpack:"revision"`
	// Entry is nil when the change is too large to push; the receiver pulls it.
	Entry   *revision.Entry `msgpack:"entry,omitempty"`
	Targets []Member        `msgpack:"targets,omitempty"`
}

// PushResponse tells the receiver's revision after it took the push.
type PushResponse struct {
	Revision identity.Revision `msgpack:"revision"`
}
