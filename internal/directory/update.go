package directory

import (
	"context"
	"sync"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/deflate"
)

const (
	// maximumPackedBytes bounds what a packed list comes to: 100,000 back ends of 150 bytes fit.
	maximumPackedBytes = 16 << 20
	// changesOnPacked is up to how many changes are told beside a packed list before it is packed anew, which takes as
	// long as some thousand of them.
	changesOnPacked = 512
)

// Update is what one daemon tells another one that asks. It names the list of back ends in brief: thousands of them at a
// hundred bytes each, told to many daemons at once, take longer than the asker waits, and fill the teller's link.
type Update struct {
	// Snapshot is the rest of what it believes, without the list.
	Snapshot Snapshot
	// List is nil where the asker has the list, and where nothing is known.
	List *ListUpdate
}

// ListUpdate is a list of back ends as of a version of the store: another list, and what changed since that.
type ListUpdate struct {
	// From is the version of the list that the changes go on from: the packed one, else that of the asker.
	From, To uint64
	// Packed is the list, deflated; empty is the asker's own.
	Packed  []byte
	Changed []backendpool.Backend
	Gone    []identity.BackendName
	// Digest is of the list at To.
	Digest uint64
}

// listDelta is what is known of another daemon's list.
type listDelta struct {
	// whole is set where base is the list at from; the changes lead from there to a version.
	whole    bool
	base     []backendpool.Backend
	from, to uint64
	changed  []backendpool.Backend
	gone     []identity.BackendName
	// digest is of the list at to.
	digest listDigest
}

// size is how many back ends were told; 0 of nil.
func (n *listDelta) size() int {
	if n == nil {
		return 0
	}
	return len(n.base) + len(n.changed) + len(n.gone)
}

// deltaOf reads what another daemon told of its list; nil where it told nothing.
func deltaOf(update *Update) (*listDelta, error) {
	list := update.List
	if list == nil {
		return deltaOfSnapshot(&update.Snapshot), nil
	}
	base, err := unpack(list.Packed)
	return &listDelta{
		whole: len(list.Packed) > 0, base: base, from: list.From, to: list.To, changed: list.Changed, gone: list.Gone, digest: listDigest(list.Digest),
	}, err
}

// deltaOfSnapshot reads what a daemon of a build told that knows no updates; nil where it told nothing.
func deltaOfSnapshot(snapshot *Snapshot) *listDelta {
	if !snapshot.HasBackends {
		return nil
	}
	return &listDelta{whole: true, base: snapshot.Backends, from: snapshot.BackendsTo, to: snapshot.BackendsTo}
}

// pack encodes a list in brief.
func pack(list []backendpool.Backend) ([]byte, error) {
	encoded, err := codec.Marshal(list)
	if err != nil {
		return nil, err
	}
	return deflate.Pack(encoded)
}

// unpack decodes what pack encoded; nothing is an empty list.
func unpack(packed []byte) ([]backendpool.Backend, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	encoded, err := deflate.Unpack(packed, maximumPackedBytes)
	if err != nil {
		return nil, err
	}
	var list []backendpool.Backend
	err = codec.Unmarshal(encoded, &list)
	return list, err
}

// packedList is the list as of a version, packed.
type packedList struct {
	to    uint64
	bytes []byte
}

// packer keeps the list packed for those that start: hundreds ask at once, and packing takes as long as some hundred
// answers.
type packer struct {
	mutex sync.Mutex
	last  packedList
}

// listQuestion asks the goroutine of Run for the list.
type listQuestion struct {
	// since is the version whose changes are asked for; nil asks for the whole list.
	since  *uint64
	answer chan listAnswer
}

// listAnswer is the whole list in changed, or what changed.
type listAnswer struct {
	to      uint64
	changed []backendpool.Backend
	gone    []identity.BackendName
	// known is set where the changes since the asked version are still known.
	known  bool
	digest listDigest
}

// askList asks for the list, or its changes since a version; false where the context ended.
func (d *Directory) askList(ctx context.Context, since *uint64) (listAnswer, bool) {
	question := &listQuestion{since: since, answer: make(chan listAnswer, 1)}
	select {
	case d.messages <- message{question: question}:
	case <-ctx.Done():
		return listAnswer{}, false
	}
	select {
	case answer := <-question.answer:
		return answer, true
	case <-ctx.Done():
		return listAnswer{}, false
	}
}

// answerList answers a question for the list.
func (d *Directory) answerList(question *listQuestion) {
	answer := listAnswer{to: d.positions[tableBackends].Load(), digest: d.backends.digest}
	if question.since == nil {
		answer.changed, answer.known = d.backends.all(), true
	} else {
		answer.changed, answer.gone, answer.known = d.backends.since(*question.since)
	}
	question.answer <- answer
}

// Update returns what this daemon believes, as far as an asker lacks it. It waits a moment for what the asker needs. It
// is safe for use by several goroutines.
func (d *Directory) Update(ctx context.Context, have Have) Update {
	snapshot, complete := d.snapshot(ctx, have)
	if !complete {
		return Update{}
	}
	update := Update{Snapshot: snapshot}
	if snapshot.BackendsTo == have.BackendsTo && have.NeedBackendsTo == 0 {
		return update
	}
	update.List = d.listSince(ctx, have.BackendsTo)
	if update.List == nil {
		return Update{}
	}
	update.Snapshot.BackendsTo = update.List.To
	return update
}

// listSince returns what changed since a version, with the packed list where that isn't known or the version is zero;
// nil where the list can't be had.
func (d *Directory) listSince(ctx context.Context, version uint64) *ListUpdate {
	if version > 0 {
		if answer, answered := d.askList(ctx, &version); answered && answer.known {
			return answer.update(version, nil)
		}
	}
	packed, since, answered := d.packed(ctx)
	if !answered {
		return nil
	}
	return since.update(packed.to, packed.bytes)
}

func (a listAnswer) update(from uint64, packed []byte) *ListUpdate {
	return &ListUpdate{From: from, To: a.to, Packed: packed, Changed: a.changed, Gone: a.gone, Digest: uint64(a.digest)}
}

// packed returns the list packed, as of not long ago, and what changed since; false where it can't be had.
func (d *Directory) packed(ctx context.Context) (last packedList, since listAnswer, had bool) {
	d.packer.mutex.Lock()
	defer d.packer.mutex.Unlock()
	if last := d.packer.last; last.bytes != nil {
		since, answered := d.askList(ctx, &last.to)
		if answered && since.known && len(since.changed)+len(since.gone) <= changesOnPacked {
			return last, since, true
		}
	}
	whole, answered := d.askList(ctx, nil)
	if !answered {
		return packedList{}, listAnswer{}, false
	}
	encoded, err := pack(whole.changed)
	if err != nil { // a struct of texts and numbers always encodes into memory
		return packedList{}, listAnswer{}, false
	}
	d.packer.last = packedList{to: whole.to, bytes: encoded}
	return d.packer.last, listAnswer{to: whole.to, known: true, digest: whole.digest}, true
}

// adoptBackends takes in another daemon's list. Nothing that this daemon knows is replaced by something older.
func (d *Directory) adoptBackends(news *listDelta) {
	position := d.positions[tableBackends]
	if news == nil || (d.listed.Load() && news.to < position.Load()) {
		return
	}
	if !news.whole {
		d.adoptChanges(news)
		return
	}
	told := listOfAll(news.base)
	told.alter(digested(news.changed), news.gone, news.to)
	changed, gone := d.backends.difference(told)
	advance(position, news.to)
	d.alter(changed, gone, news.to)
	d.listed.Store(true)
	d.wantsWhole.Store(false)
}

// adoptChanges takes in what changed since the version that this daemon had when it asked. Where that doesn't lead to
// the teller's list, the whole list is asked for.
func (d *Directory) adoptChanges(news *listDelta) {
	if !d.listed.Load() || news.from > d.positions[tableBackends].Load() {
		return
	}
	changed := d.backends.lacking(news.changed)
	if d.backends.digestAfter(changed, news.gone) != news.digest {
		d.wantsWhole.Store(true)
		return
	}
	d.wantsWhole.Store(false)
	d.changeListed(changed, news.gone, news.to)
}
