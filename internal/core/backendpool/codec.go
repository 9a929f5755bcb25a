package backendpool

import (
	"sync"
	"unique"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// plainBackend is a Backend without its custom encoding.
type plainBackend Backend

// sentBackend is the wire format of a Backend: the ID field holds the back end's name, as releases without
// incarnations expect, and the incarnation follows if it is known.
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

// DecodeMsgpack implements msgpack.CustomDecoder. The library rejects an array-encoded struct with a different
// number of fields. Backends are accepted with any number, because earlier releases sent them without an
// incarnation.
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

// decodeFields reads array-encoded fields. Absent fields stay zero, and extra ones are skipped.
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

// decodeField reads the field at an index. It decodes by static type to avoid the library's reflection, since lists
// of thousands of back ends are read at once.
func (s *sentBackend) decodeField(decoder *msgpack.Decoder, index int) error {
	switch index {
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

// decodeShared reads a string that thousands of back ends have in common, and interns it.
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

// decodeSingleWeights reads the version of a single model. Thousands of back ends hold the same version and share
// one map, which would otherwise take more memory than the rest of a back end.
func (s *sentBackend) decodeSingleWeights(decoder *msgpack.Decoder) error {
	var model identity.ModelName
	if err := decodeShared(decoder, &model); err != nil {
		return err
	}
	version, err := decoder.DecodeUint64()
	s.Weights = singleWeights.get(model, version)
	return err
}

// weightsCache keeps one shared map for each of the last few model versions.
type weightsCache struct {
	mutex sync.Mutex
	maps  map[singleVersion]map[identity.ModelName]uint64
}

type singleVersion struct {
	model   identity.ModelName
	version uint64
}

// cachedWeights bounds the number of cached maps. It is exceeded only while many versions are in use.
const cachedWeights = 64

var singleWeights = weightsCache{maps: map[singleVersion]map[identity.ModelName]uint64{}}

// get returns a shared map with a single version, which must not be modified.
func (c *weightsCache) get(model identity.ModelName, version uint64) map[identity.ModelName]uint64 {
	key := singleVersion{model, version}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if found := c.maps[key]; found != nil {
		return found
	}
	if len(c.maps) >= cachedWeights {
		clear(c.maps)
	}
	created := map[identity.ModelName]uint64{model: version}
	c.maps[key] = created
	return created
}
