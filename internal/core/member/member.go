// Package member describes daemons to each other: where one is reached, its zone, and what
// room its machine has. It is pure.
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

// The machine of capacity 1: the smallest that daemons are run on. Only the ratio of two
// capacities decides anything.
const (
	referenceCores = 0.2
	referenceMbps  = 10
)

// leastCapacity bounds capacities below, so that none vanishes in the text form.
const leastCapacity = 0.01

// UnknownCapacity is taken for a daemon that tells none: as little as a small machine has.
const UnknownCapacity = 1.0

// nameBase is the base in which the text form writes the hash of a name.
const nameBase = 16

// unknownZone stands in the text form for a zone that is not known.
const unknownZone = "-"

// Descriptor describes one daemon.
type Descriptor struct {
	// Address is where other daemons reach it, IP:port.
	Address string
	// Zone is empty where it is not known.
	Zone identity.Zone
	// Capacity is its machine's room relative to other machines', above zero.
	Capacity float64
	// Name is the hash of the daemon's name, which stays the same where its address changes; zero
	// where it is not known.
	Name uint64
}

// Capacity is a machine's room for roles that cost, from its processor, in cores of usual
// speed, and its link, in Mbit/s: their geometric mean, since roles take of both. It is
// UnknownCapacity where one of them is not known.
func Capacity(cores, linkMbps float64) float64 {
	if !(cores > 0 && linkMbps > 0) {
		return UnknownCapacity
	}
	return max(math.Sqrt(cores/referenceCores*linkMbps/referenceMbps), leastCapacity)
}

// MalformedError says why a text describes no daemon.
type MalformedError struct {
	Text string
	Err  error
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("description of a daemon %q: %v", e.Text, e.Err)
}

// Unwrap returns what is wrong.
func (e *MalformedError) Unwrap() error { return e.Err }

// Errors of descriptions.
var (
	errNoAddress  = errors.New("has no address")
	errNoCapacity = errors.New("has a capacity that is no number above zero")
	errNoName     = errors.New("has a name that is no hash")
)

// String is the text form: the address, the zone, the capacity and, where it is known, the name,
// parted by blanks.
func (d Descriptor) String() string {
	zone := cmp.Or(string(d.Zone), unknownZone)
	text := d.Address + " " + zone + " " + strconv.FormatFloat(d.Capacity, 'g', 3, 64)
	if d.Name == 0 {
		return text
	}
	return text + " " + strconv.FormatUint(d.Name, nameBase)
}

// Parse reads the text form. What follows the address may be missing. The error is a
// *MalformedError.
func Parse(text string) (Descriptor, error) {
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return Descriptor{}, &MalformedError{Text: text, Err: errNoAddress}
	}
	described := Descriptor{Address: fields[0], Capacity: UnknownCapacity}
	if len(fields) > 1 && fields[1] != unknownZone {
		described.Zone = identity.Zone(fields[1])
	}
	if len(fields) > 2 {
		capacity, err := strconv.ParseFloat(fields[2], 64)
		if err != nil || !(capacity > 0) || math.IsInf(capacity, 0) {
			return Descriptor{}, &MalformedError{Text: text, Err: errNoCapacity}
		}
		described.Capacity = capacity
	}
	if len(fields) > 3 {
		name, err := strconv.ParseUint(fields[3], nameBase, 64)
		if err != nil {
			return Descriptor{}, &MalformedError{Text: text, Err: errNoName}
		}
		described.Name = name
	}
	return described, nil
}

// MarshalText implements encoding.TextMarshaler by the text form.
func (d Descriptor) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Descriptor) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err == nil {
		*d = parsed
	}
	return err
}
