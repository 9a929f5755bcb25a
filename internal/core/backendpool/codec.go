package backendpool

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// plainBackend is a Backend that is encoded field by field.
type plainBackend Backend

// sentBackend is a Backend as daemons send it to each other: with the back end's name as its ID, as
// releases that know of no lives understand it, and the life's incarnation beside it where it is known.
type sentBackend struct {
	plainBackend
	Incarnation identity.Incarnation `msgpack:",omitempty"`
}

var (
	_ msgpack.CustomEncoder = Backend{}
	_ msgpack.CustomDecoder = (*Backend)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (b Backend) EncodeMsgpack(encoder *msgpack.Encoder) error {
	sent := sentBackend{plainBackend: plainBackend(b), Incarnation: b.ID.Incarnation()}
	sent.ID = identity.BackendID(b.ID.Name())
	return encoder.Encode(&sent)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (b *Backend) DecodeMsgpack(decoder *msgpack.Decoder) error {
	var sent sentBackend
	if err := decoder.Decode(&sent); err != nil {
		return err
	}
	*b = Backend(sent.plainBackend)
	b.ID = identity.NewBackendID(identity.BackendName(sent.ID), sent.Incarnation)
	return nil
}
