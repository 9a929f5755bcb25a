package httpexchange

import (
	"context"
	"errors"
	"time"
)

// Identification makes the process at the other end of a connection tell who it is. A connection ends with the process that
// accepted it, so that one answer on it holds for all later ones.
type Identification struct {
	// Question returns the request that asks.
	Question func() *Request
	// Read returns the identity in the answer, which is not zero.
	Read func(answer *Answer) (uint64, error)
	// Timeout bounds the question on one connection.
	Timeout time.Duration
	// Accept returns an error if the request must not be sent to a process of an identity, which is zero if unknown.
	Accept func(identity uint64) error
}

// identifications is on how many connections a process is asked: the first may end with an earlier process.
const identifications = 2

// errUnusable means that a connection can't be used after the question.
var errUnusable = errors.New("the connection ends with the answer to the question who is there")

// connectIdentified returns the connection, or another one in its place, once the process at the other end has told its identity or
// couldn't, and the identity is accepted.
func (p *Pool) connectIdentified(ctx context.Context, taken *connection, request *Request) (*connection, error) {
	address, asked := taken.address, taken.peer == 0
	for range identifications {
		if taken.peer != 0 || taken.identify(ctx, request.Identify) == nil {
			break
		}
		taken.close()
		var err error
		if taken, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	err := request.Identify.Accept(taken.peer)
	if err == nil && asked {
		err = request.stands()
	}
	if err != nil {
		taken.keep(0)
		return nil, err
	}
	return taken, nil
}

// identify asks who is at the other end. After an error the connection can't be used.
func (c *connection) identify(ctx context.Context, identification *Identification) error {
	bounded, cancel := context.WithTimeout(ctx, identification.Timeout)
	defer cancel()
	stop := context.AfterFunc(bounded, c.close)
	defer stop()
	answer, err := c.exchange(identification.Question())
	if err != nil {
		return err
	}
	identity, err := identification.Read(answer)
	if err != nil {
		return err
	}
	if !stop() || !answer.whole || answer.Closing || !answer.Delimited || !answer.sent.complete() || c.reader.Buffered() > 0 {
		return errUnusable
	}
	c.peer = identity
	return nil
}
