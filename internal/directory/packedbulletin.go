package directory

import (
	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/deflate"
)

const (
	// packedChanges is the number of changes from which on a bulletin is packed. A full unpacked one, forwarded to
	// each daemon below in a tree, is more than a daemon may forward at once.
	packedChanges = 8
	// maximumBulletin bounds an unpacked bulletin.
	maximumBulletin = 64 << 10
)

// PackedBulletin is a Bulletin that is encoded and deflated.
type PackedBulletin struct{ Packed []byte }

// Pack returns the packed bulletin, and the plain one to send beside it, which names only the version of the list,
// for builds that can't read packed ones and for daemons that miss it. It returns false if the bulletin is too
// short to be packed.
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

// ReceivePackedBulletin unpacks a bulletin and queues it like ReceiveBulletin.
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
