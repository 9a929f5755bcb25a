package backendpool

import (
	"sync"
	"unique"

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
	for index := range count {
		if err := s.decodeField(decoder, index); err != nil {
			return err
		}
	}
	return nil
}

// decodeField reads the field at a place. By their types, which spares the library's reflection: lists of thousands are read
// at once.
func (s *sentBackend) decodeField(decoder *msgpack.Decoder, place int) error {
	switch place {
	case 0:
		return decodeText(decoder, &s.ID)
	case 1:
		return decodeShared(decoder, &s.Service)
	case 2:
		return decodeText(decoder, &s.Address)
	case 3:
		return decodeShared(decoder, &s.Zone)
	case 4:
		slots, err := decoder.DecodeInt()
		s.Slots = slots
		return err
	case 5:
		return decodeShared(decoder, &s.Software)
	case 6:
		draining, err := decoder.DecodeBool()
		s.Draining = draining
		return err
	case 7:
		return s.decodeWeights(decoder)
	case 8:
		return decoder.Decode(&s.Incarnation)
	default:
		return decoder.Skip()
	}
}

func decodeText[Text ~string](decoder *msgpack.Decoder, into *Text) error {
	text, err := decoder.DecodeString()
	*into = Text(text)
	return err
}

// decodeShared reads a text that thousands of back ends have in common, and keeps one copy of it.
func decodeShared[Text ~string](decoder *msgpack.Decoder, into *Text) error {
	text, err := decoder.DecodeString()
	*into = Text(unique.Make(text).Value())
	return err
}

func (s *sentBackend) decodeWeights(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeMapLen()
	if err != nil || count < 0 { // nil
		return err
	}
	if count == 1 {
		return s.decodeSingleWeights(decoder)
	}
	s.Weights = make(map[identity.ModelName]uint64, min(count, 8))
	for range count {
		var model identity.ModelName
		if err := decodeShared(decoder, &model); err != nil {
			return err
		}
		if s.Weights[model], err = decoder.DecodeUint64(); err != nil {
			return err
		}
	}
	return nil
}

// decodeSingleWeights reads the version of the only model. Thousands of back ends hold the same one, and share the map,
// which would take more than the rest of a back end.
func (s *sentBackend) decodeSingleWeights(decoder *msgpack.Decoder) error {
	var model identity.ModelName
	if err := decodeShared(decoder, &model); err != nil {
		return err
	}
	version, err := decoder.DecodeUint64()
	s.Weights = singleWeights.of(model, version)
	return err
}

// weightsCache keeps one map for each version of a model, of the last few.
type weightsCache struct {
	mutex sync.Mutex
	maps  map[singleVersion]map[identity.ModelName]uint64
}

type singleVersion struct {
	model   identity.ModelName
	version uint64
}

// cachedWeights bounds the maps that are kept. More are there only while many versions are in use.
const cachedWeights = 64

var singleWeights = weightsCache{maps: map[singleVersion]map[identity.ModelName]uint64{}}

// of returns a map with one version, which must not be changed.
func (c *weightsCache) of(model identity.ModelName, version uint64) map[identity.ModelName]uint64 {
	key := singleVersion{model, version}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if found := c.maps[key]; found != nil {
		return found
	}
	if len(c.maps) >= cachedWeights {
		clear(c.maps)
	}
	made := map[identity.ModelName]uint64{model: version}
	c.maps[key] = made
	return made
}
