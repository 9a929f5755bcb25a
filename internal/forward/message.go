// Package forward sends requests to back ends through other daemons, for a daemon whose own links to them are down. Daemons
// ask each other in datagrams who reaches a back end, and pass each request in one HTTP exchange over exactly one daemon,
// which sends it directly or not at all.
package forward

import (
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lotusward/lotusward/internal/codec"
	"github.com/lotusward/lotusward/internal/core/backendpool"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/outcome"
	"github.com/lotusward/lotusward/internal/relay"
)

// Path is where daemons take forwarded requests, beside what package peersync serves.
const Path = "/forward"

const (
	lengthBytes = 4
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 1 << 20
)

var errHeadTooLong = errors.New("the head of a forwarded answer is too long")

// message is a dispatch as it is sent to another daemon. Fields are only ever added at the end.
type message struct {
	ID, Method, Host, Target, Path string
	Header                         map[string][]string
	Body                           []byte
	// Prompt is set if HasPrompt is: the front end determined the prompt. Others are described in Header, if at all.
	Prompt sentPrompt
	// Key is the caller's key and Tenant the tenant that it authenticates, by the configuration of the given version.
	Key, Tenant   string
	Configuration uint64
	// Backend is the ID, and Address the address that the sender has for it.
	Backend, Address  string
	Timeout           time.Duration
	Priority          int
	WeightsVersion    uint64
	CacheSalt         string
	FetchFrom, SaveTo string
	ResumeAfter       string
	HasPrompt         bool
	EndOnLinkLoss     bool
}

// sentPrompt is a prompt whose parts the front end determined.
type sentPrompt struct {
	Model        string
	Parts        []relay.Part
	OutputTokens int
}

// messageOf describes a dispatch.
func messageOf(dispatch *relay.Dispatch) *message {
	request := dispatch.Request
	sent := &message{
		ID: string(request.ID), Method: request.Method, Host: request.Host, Target: request.Target, Path: request.Path,
		Header: request.Header, Body: request.Body, Key: request.Key, Tenant: string(dispatch.Tenant), Configuration: dispatch.Configuration,
		Backend: string(dispatch.Backend), Address: dispatch.Address, Timeout: dispatch.Timeout, Priority: dispatch.Priority,
		WeightsVersion: dispatch.Version, CacheSalt: dispatch.CacheSalt, FetchFrom: dispatch.FetchFrom, SaveTo: dispatch.SaveTo,
		ResumeAfter: dispatch.ResumeAfter, EndOnLinkLoss: dispatch.EndOnLinkLoss,
	}
	if prompt := request.Prompt; prompt != nil && prompt.Derived {
		sent.HasPrompt = true
		sent.Prompt = sentPrompt{Model: string(prompt.Model), Parts: prompt.Parts, OutputTokens: prompt.OutputTokens}
	}
	return sent
}

// dispatch returns the attempt that a message describes.
func (m *message) dispatch() *relay.Dispatch {
	header := http.Header(m.Header)
	if header == nil {
		header = http.Header{}
	}
	request := &relay.Request{
		ID: identity.RequestID(m.ID), Method: m.Method, Host: m.Host, Target: m.Target, Path: m.Path, Header: header, Body: m.Body,
	}
	if m.HasPrompt {
		request.Prompt = &relay.Prompt{
			Model: identity.ModelName(m.Prompt.Model), Parts: m.Prompt.Parts, OutputTokens: m.Prompt.OutputTokens, Derived: true,
		}
	}
	return &relay.Dispatch{
		Request: request, Backend: identity.BackendID(m.Backend), Address: m.Address, Timeout: m.Timeout,
		Tenant: identity.TenantName(m.Tenant), Priority: m.Priority, Version: m.WeightsVersion, CacheSalt: m.CacheSalt,
		FetchFrom: m.FetchFrom, SaveTo: m.SaveTo, ResumeAfter: m.ResumeAfter, Configuration: m.Configuration,
		EndOnLinkLoss: m.EndOnLinkLoss,
	}
}

// head begins the answer to a message; the body of the back end's answer follows it. Fields are only ever added at the end.
type head struct {
	// Evidence says what the back end may have done if there is no answer, and Cause why there is none.
	Failed   bool
	Evidence outcome.Evidence
	Cause    string

	Verdict        relay.Verdict
	Status         int
	Header         map[string][]string
	Length         int64
	Stream         bool
	Delimited      bool
	WeightsVersion uint64
	Notice         backendpool.Notice
}

// failedHead describes an attempt without an answer.
func failedHead(evidence outcome.Evidence, cause error) *head {
	return &head{Failed: true, Evidence: evidence, Cause: cause.Error()}
}

// cause returns why there is no answer. The header is that of the exchange with the other daemon.
func (h *head) cause(header http.Header) error {
	if part := header.Get(headerMalformed); part != "" {
		return outcome.NewMalformedError(part, h.Cause)
	}
	return errors.New(h.Cause)
}

// answeredHead describes an answer.
func answeredHead(answer *relay.Answer) *head {
	return &head{
		Verdict: answer.Verdict, Status: answer.Head.Status, Header: answer.Head.Header, Length: answer.Head.Length,
		Stream: answer.Stream, Delimited: answer.Delimited, WeightsVersion: answer.WeightsVersion, Notice: answer.Notice,
	}
}

// answer returns the answer that a head describes, without a body.
func (h *head) answer() *relay.Answer {
	header := http.Header(h.Header)
	if header == nil {
		header = http.Header{}
	}
	return &relay.Answer{
		Verdict: h.Verdict, Head: relay.Head{Status: h.Status, Header: header, Length: h.Length},
		Stream: h.Stream, Delimited: h.Delimited, WeightsVersion: h.WeightsVersion, Notice: h.Notice,
	}
}

// writeHead writes a head preceded by its length.
func writeHead(writer io.Writer, sent *head) error {
	encoded, err := codec.Marshal(sent)
	if err != nil {
		return err
	}
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(encoded)), uint32(len(encoded)))
	_, err = writer.Write(append(framed, encoded...))
	return err
}

// readHead reads what writeHead wrote.
func readHead(reader io.Reader) (*head, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxHeadBytes {
		return nil, errHeadTooLong
	}
	encoded := make([]byte, size)
	if _, err := io.ReadFull(reader, encoded); err != nil {
		return nil, err
	}
	var received head
	if err := codec.Unmarshal(encoded, &received); err != nil {
		return nil, err
	}
	return &received, nil
}
