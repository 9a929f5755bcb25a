// Package member defines the description that daemons give of themselves to each other: address,
// zone and machine capacity. It performs no I/O.
package member

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/lotusward/lotusward/internal/core/identity"
)

// The machine of capacity 1, the smallest that daemons run on. Only the ratio of two capacities
// matters.
const (
	referenceCores = 0.2
	referenceMbps  = 10
)

// minCapacity is the lower bound of capacities, so that none is formatted as zero.
const minCapacity = 0.01

// UnknownCapacity is assumed for a daemon that reports none. It is that of a small machine.
const UnknownCapacity = 1.0

// nameBase is the number base of the name hash in the text form.
const nameBase = 16

// unknownZone represents an unknown zone in the text form.
const unknownZone = "-"

// Descriptor describes one daemon.
type Descriptor struct {
	// Address is where other daemons reach it, IP:port.
	Address string
	// Zone is empty if unknown.
	Zone identity.Zone
	// Capacity is its machine's capacity relative to other machines, above zero.
	Capacity float64
	// Name is the hash of the daemon's name, which stays the same if its address changes; zero if
	// unknown.
	Name uint64
}

// Capacity returns a machine's relative capacity for resource-intensive roles, given its processor
// in standard cores and its link in Mbit/s. It is their geometric mean, since roles use both, or
// UnknownCapacity if either is unknown.
func Capacity(cores, linkMbps float64) float64 {
	if !(cores > 0 && linkMbps > 0) {
		return UnknownCapacity
	}
	return max(math.Sqrt(cores/referenceCores*linkMbps/referenceMbps), minCapacity)
}

// MalformedError reports a text that is not a valid descriptor.
type MalformedError struct {
	Text string
	Err  error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("daemon descriptor %q: %v", e.Text, e.Err)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Err }

// Errors of descriptions.
var (
	errNoAddress  = errors.New("has no address")
	errNoCapacity = errors.New("has a capacity that is no number above zero")
	errNoName     = errors.New("has a name that is no hash")
)

// String returns the text form: the address, the zone, the capacity and, if known, the name,
// separated by spaces.
func (d Descriptor) String() string {
	zone := cmp.Or(string(d.Zone), unknownZone)
	text := d.Address + " " + zone + " " + strconv.FormatFloat(d.Capacity, 'g', 3, 64)
	if d.Name == 0 {
		return text
	}
	return text + " " + strconv.FormatUint(d.Name, nameBase)
}

// Parse parses the text form. Everything after the address is optional. The error is a
// *MalformedError.
func Parse(text string) (Descriptor, error) {
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return Descriptor{}, &MalformedError{Text: text, Err: errNoAddress}
	}
	descriptor := Descriptor{Address: fields[0], Capacity: UnknownCapacity}
	if len(fields) > 1 && fields[1] != unknownZone {
		descriptor.Zone = identity.Zone(fields[1])
	}
	if len(fields) > 2 {
		capacity, err := strconv.ParseFloat(fields[2], 64)
		if err != nil || !(capacity > 0) || math.IsInf(capacity, 0) {
			return Descriptor{}, &MalformedError{Text: text, Err: errNoCapacity}
		}
		descriptor.Capacity = capacity
	}
	if len(fields) > 3 {
		name, err := strconv.ParseUint(fields[3], nameBase, 64)
		if err != nil {
			return Descriptor{}, &MalformedError{Text: text, Err: errNoName}
		}
		descriptor.Name = name
	}
	return descriptor, nil
}

// MarshalText implements encoding.TextMarshaler with the text form.
func (d Descriptor) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Descriptor) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err == nil {
		*d = parsed
	}
	return err
}
