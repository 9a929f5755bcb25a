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
	// maximumPackedBytes bounds the unpacked size of a list: 100,000 back ends of 150 bytes fit.
	maximumPackedBytes = 16 << 20
	// changesOnPacked is the largest number of changes sent along with a packed list before the list is packed
	// again. Packing takes as long as some thousand changes.
	changesOnPacked = 512
)

// Update is one daemon's answer to another one. It holds the list of back ends in compressed form: thousands of
// them at a hundred bytes each, sent to many daemons at once, would take longer than the asker waits, and saturate
// the sender's link.
type Update struct {
	// Snapshot is the rest of the data, without the list.
	Snapshot Snapshot
	// List is nil if the asker has the list, and if nothing is known.
	List *ListUpdate
}

// ListUpdate is the list of back ends as of a version of the store: a base list, and the changes since.
type ListUpdate struct {
	// From is the version of the list that the changes apply to: of the packed list, or of the asker's if there is
	// none.
	From, To uint64
	// Packed is the base list, deflated; if empty, the base is the asker's own list.
	Packed  []byte
	Changed []backendpool.Backend
	Gone    []identity.BackendName
	// Digest is the digest of the list at To.
	Digest uint64
}

// listDelta is the decoded list of back ends, or its changes, from another daemon.
type listDelta struct {
	// whole is set if base is the list at version from; the changes lead from there to version to.
	whole    bool
	base     []backendpool.Backend
	from, to uint64
	changed  []backendpool.Backend
	gone     []identity.BackendName
	// digest is the digest of the list at to.
	digest listDigest
}

// size returns the number of back ends in the delta; 0 for nil.
func (n *listDelta) size() int {
	if n == nil {
		return 0
	}
	return len(n.base) + len(n.changed) + len(n.gone)
}

// deltaOf decodes the list in an update; nil if there is none.
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

// deltaOfSnapshot decodes the list in the snapshot of a build without updates; nil if there is none.
func deltaOfSnapshot(snapshot *Snapshot) *listDelta {
	if !snapshot.HasBackends {
		return nil
	}
	return &listDelta{whole: true, base: snapshot.Backends, from: snapshot.BackendsTo, to: snapshot.BackendsTo}
}

// pack encodes and deflates a list.
func pack(list []backendpool.Backend) ([]byte, error) {
	encoded, err := codec.Marshal(list)
	if err != nil {
		return nil, err
	}
	return deflate.Pack(encoded)
}

// unpack decodes what pack encoded; an empty input is an empty list.
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

// packedList is a packed list with its version.
type packedList struct {
	to    uint64
	bytes []byte
}

// packer caches the packed list for starting daemons: hundreds ask at once, and packing takes as long as some
// hundred answers.
type packer struct {
	mutex sync.Mutex
	last  packedList
}

// listQuestion requests the list from the goroutine of Run.
type listQuestion struct {
	// since is the version whose later changes are requested; nil requests the whole list.
	since  *uint64
	answer chan listAnswer
}

// listAnswer holds the whole list in changed, or the changes.
type listAnswer struct {
	to      uint64
	changed []backendpool.Backend
	gone    []identity.BackendName
	// known is set if the changes since the requested version are still known.
	known  bool
	digest listDigest
}

// askList requests the list, or its changes since a version; false if the context ended.
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

// answerList answers a request for the list.
func (d *Directory) answerList(question *listQuestion) {
	answer := listAnswer{to: d.positions[tableBackends].Load(), digest: d.backends.digest}
	if question.since == nil {
		answer.changed, answer.known = d.backends.all(), true
	} else {
		answer.changed, answer.gone, answer.known = d.backends.since(*question.since)
	}
	question.answer <- answer
}

// Update returns the data that an asker lacks, and waits up to serveWait for what it needs. It is safe for use by
// several goroutines.
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

// listSince returns the changes since a version, based on the packed list if they aren't known or the version is
// zero; nil if the context ended.
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

// packed returns a recently packed list and the changes since; false if it isn't available.
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
	if err != nil { // encoding strings and numbers into memory can't fail
		return packedList{}, listAnswer{}, false
	}
	d.packer.last = packedList{to: whole.to, bytes: encoded}
	return d.packer.last, listAnswer{to: whole.to, known: true, digest: whole.digest}, true
}

// adoptBackends applies another daemon's list. It never replaces local data by older data.
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
	told.applyChange(digested(news.changed), news.gone, news.to)
	changed, gone := d.backends.difference(told)
	advance(position, news.to)
	d.applyListChange(changed, gone, news.to)
	d.listed.Store(true)
	d.needsWholeList.Store(false)
}

// adoptChanges applies changes since the version that this daemon had when it asked. If they don't lead to the
// sender's list, the whole list is requested.
func (d *Directory) adoptChanges(news *listDelta) {
	if !d.listed.Load() || news.from > d.positions[tableBackends].Load() {
		return
	}
	changed := d.backends.differing(news.changed)
	if d.backends.digestAfter(changed, news.gone) != news.digest {
		d.needsWholeList.Store(true)
		return
	}
	d.needsWholeList.Store(false)
	d.changeListed(changed, news.gone, news.to)
}
