package configuration

import (
	"context"
)

// Peers is how the runner reaches the other daemons.
type Peers interface {
	// Members lists the other daemons that are believed to be alive.
	Members() []Member
	// Size is how many daemons the deployment has, with this one, alive or not.
	// Majorities are counted over it.
	Size() int
	Head(ctx context.Context, member Member, request HeadRequest) (HeadResponse, error)
	Pull(ctx context.Context, member Member, request PullRequest) (PullResponse, error)
	Push(ctx context.Context, member Member, request PushRequest) (PushResponse, error)
}

// Caller sends a call to a daemon; the client of package peer implements it.
type Caller interface {
	Call(ctx context.Context, address, path string, request, response any) error
}

// Membership tells who the other daemons are.
type Membership interface {
	Members() []Member
	Size() int
}

// CallingPeers implements Peers by calls.
type CallingPeers struct {
	Membership
	Caller Caller
}

// Head implements Peers.
func (p CallingPeers) Head(ctx context.Context, member Member, request HeadRequest) (HeadResponse, error) {
	return call[HeadResponse](ctx, p.Caller, member, PathHead, request)
}

// Pull implements Peers.
func (p CallingPeers) Pull(ctx context.Context, member Member, request PullRequest) (PullResponse, error) {
	return call[PullResponse](ctx, p.Caller, member, PathPull, request)
}

// Push implements Peers.
func (p CallingPeers) Push(ctx context.Context, member Member, request PushRequest) (PushResponse, error) {
	return call[PushResponse](ctx, p.Caller, member, PathPush, request)
}

func call[Response any](ctx context.Context, caller Caller, member Member, path string, request any) (Response, error) {
	var response Response
	err := caller.Call(ctx, member.Address, path, request, &response)
	return response, err
}
