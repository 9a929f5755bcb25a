package roomshare

import (
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// toldMessage tells what room the sender's region has.
type toldMessage struct {
	Region   identity.Region
	Services []serviceRoom
}

// serviceRoom is the room of one service in a region, in whole numbers, which are shorter.
type serviceRoom struct {
	Service  identity.ServiceName
	Backends uint32
	Slots    uint32
	InFlight uint32
	Reading  uint64
	Tokens   uint64
}

func newServiceRoom(service identity.ServiceName, room backendpool.RegionCapacity) serviceRoom {
	return serviceRoom{
		Service: service, Backends: uint32(room.Backends), Slots: uint32(room.Slots), InFlight: uint32(room.InFlight),
		Reading: uint64(room.Reading), Tokens: uint64(room.Tokens),
	}
}

func (r serviceRoom) room(region identity.Region) backendpool.RegionCapacity {
	return backendpool.RegionCapacity{
		Region: region, Backends: float64(r.Backends), Slots: float64(r.Slots), InFlight: float64(r.InFlight),
		Reading: float64(r.Reading), Tokens: float64(r.Tokens),
	}
}

// questionMessage asks what other regions told.
type questionMessage struct{ Number uint64 }

// answerMessage answers a questionMessage.
type answerMessage struct {
	Number  uint64
	Regions []agedMessage
}

// agedMessage is what a region told, and how long ago it was heard, in milliseconds.
type agedMessage struct {
	Told            toldMessage
	AgeMilliseconds uint32
}
