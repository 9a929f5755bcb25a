package directory

import (
	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/deflate"
)

const (
	// packedChanges is from how many changes on a bulletin is packed. A full one, sent on to each daemon below in a tree, is
	// more than a daemon may forward at once.
	packedChanges = 8
	// maximumBulletin bounds an unpacked bulletin.
	maximumBulletin = 64 << 10
)

// PackedBulletin is a Bulletin that is encoded and deflated.
type PackedBulletin struct{ Packed []byte }

// Pack returns a bulletin packed, and what is told beside it to daemons of builds that know no packed ones and to those
// that miss it: up to which version the list is known. It returns false where the bulletin is short.
func (b Bulletin) Pack() (PackedBulletin, Bulletin, bool) {
	news := b.Backends
	if news == nil || len(news.Changed)+len(news.Gone) < packedChanges {
		return PackedBulletin{}, Bulletin{}, false
	}
	encoded, err := codec.Marshal(&b)
	if err != nil {
		return PackedBulletin{}, Bulletin{}, false
	}
	packed, err := deflate.Pack(encoded)
	return PackedBulletin{Packed: packed}, Bulletin{Backends: &BackendNews{To: news.To, Digest: news.Digest}}, err == nil
}

// ReceivePackedBulletin takes in what another daemon has read, as Hear does.
func (d *Directory) ReceivePackedBulletin(from string, packed PackedBulletin) {
	encoded, err := deflate.Unpack(packed.Packed, maximumBulletin)
	var bulletin Bulletin
	if err == nil {
		err = codec.Unmarshal(encoded, &bulletin)
	}
	if err != nil {
		d.options.Log.WithError(err).WithField("from", from).Warn("A packed bulletin can't be read.")
		return
	}
	d.ReceiveBulletin(from, bulletin)
}
