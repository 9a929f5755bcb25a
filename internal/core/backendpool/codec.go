package backendpool

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

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

// DecodeMsgpack implements msgpack.CustomDecoder. The library refuses a struct by position whose number of fields is
// another one; of a back end, of which builds told no life at first, what is told is taken.
func (b *Backend) DecodeMsgpack(decoder *msgpack.Decoder) error {
	code, err := decoder.PeekCode()
	if err != nil {
		return err
	}
	var sent sentBackend
	if msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32 {
		err = sent.decodeFields(decoder)
	} else {
		err = decoder.Decode(&sent)
	}
	if err != nil {
		return err
	}
	*b = Backend(sent.plainBackend)
	b.ID = identity.NewBackendID(identity.BackendName(sent.ID), sent.Incarnation)
	return nil
}

// decodeFields reads the fields that are told by position. Those that lack stay zero, and those beyond are passed over.
func (s *sentBackend) decodeFields(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	fields := []any{&s.ID, &s.Service, &s.Address, &s.Zone, &s.Slots, &s.Software, &s.Draining, &s.Weights, &s.Incarnation}
	for index := range count {
		if index < len(fields) {
			err = decoder.Decode(fields[index])
		} else {
			err = decoder.Skip()
		}
		if err != nil {
			return err
		}
	}
	return nil
}
