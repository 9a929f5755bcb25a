package roomshare

import (
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
)

// capacityMessage reports the capacity of the sender's region.
type capacityMessage struct {
	Region   identity.Region
	Services []serviceCapacity
}

// serviceCapacity is the capacity of one service in a region, in integers, which are shorter on the wire.
type serviceCapacity struct {
	Service  identity.ServiceName
	Backends uint32
	Slots    uint32
	InFlight uint32
	Reading  uint64
	Tokens   uint64
}

func newServiceCapacity(service identity.ServiceName, capacity backendpool.RegionCapacity) serviceCapacity {
	return serviceCapacity{
		Service: service, Backends: uint32(capacity.Backends), Slots: uint32(capacity.Slots), InFlight: uint32(capacity.InFlight),
		Reading: uint64(capacity.Reading), Tokens: uint64(capacity.Tokens),
	}
}

func (r serviceCapacity) decode(region identity.Region) backendpool.RegionCapacity {
	return backendpool.RegionCapacity{
		Region: region, Backends: float64(r.Backends), Slots: float64(r.Slots), InFlight: float64(r.InFlight),
		Reading: float64(r.Reading), Tokens: float64(r.Tokens),
	}
}

// questionMessage asks for the reports received from other regions.
type questionMessage struct{ Number uint64 }

// answerMessage is the answer to a questionMessage.
type answerMessage struct {
	Number  uint64
	Regions []agedMessage
}

// agedMessage is the report of a region and the time since it was received, in milliseconds.
type agedMessage struct {
	Told            capacityMessage
	AgeMilliseconds uint32
}
