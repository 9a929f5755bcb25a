package adminhttp

import (
	"context"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/core/revision"
	"github.com/lotusward/lotusward/internal/wire/adminwire"
)

// maximumRebuilds is how often a command that keeps parts of the present
// configuration is made again after another operator's change.
const maximumRebuilds = 5

// importStatement stands for the statement in the record of an import.
const importStatement = "import of a configuration"

func (h *Handler) command(ctx context.Context, operator account, command *query.Command, changeID string) (any, *adminwire.Error) {
	if failure := operator.mayOperate(); failure != nil {
		h.logRefusal(operator, command.String(), failure)
		return nil, failure
	}
	if changeID != "" && command.ChangeID != "" && changeID != string(command.ChangeID) {
		return nil, &adminwire.Error{Code: adminwire.CodeInvalidRequest, Message: "the request and its statement name different change IDs"}
	}
	proposal := query.Proposal{
		ChangeID: h.changeID(changeID, string(command.ChangeID)),
		Operator: operator.name,
		At:       h.options.Clock().UTC(),
	}
	return h.finish(ctx, operator, command.String(), proposal.ChangeID, func(ctx context.Context) (Accepted, error) {
		return h.propose(ctx, command, proposal)
	})
}

func (h *Handler) replace(ctx context.Context, operator account, body adminwire.ImportRequest) (any, *adminwire.Error) {
	change := dynamic.Change{
		ID:        h.changeID(body.ChangeID),
		Operator:  operator.name,
		At:        h.options.Clock().UTC(),
		Base:      body.Base,
		Statement: importStatement,
		Operation: dynamic.Operation{Replace: &body.Document},
	}
	return h.finish(ctx, operator, importStatement, change.ID, func(ctx context.Context) (Accepted, error) {
		return h.options.Configuration.Propose(ctx, change)
	})
}

// changeID takes the first given change ID, or makes a new one.
func (h *Handler) changeID(given ...string) string {
	for _, id := range given {
		if id != "" {
			return id
		}
	}
	return h.options.NewChangeID()
}

// finish commits a change, logs the result and answers. A change goes on when the
// operator's connection is lost: its answer can be had by its change ID.
func (h *Handler) finish(ctx context.Context, operator account, statement, changeID string, commit func(context.Context) (Accepted, error)) (any, *adminwire.Error) {
	commitContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.options.CommandTimeout)
	defer cancel()
	accepted, err := commit(commitContext)
	if err != nil {
		failure := commandFailure(err, changeID)
		h.logRefusal(operator, statement, failure)
		return nil, failure
	}
	h.options.Log.WithFields(logrus.Fields{
		"operator": operator.name,
		"revision": accepted.Revision,
		"change":   changeID,
	}).Infof("Accepted: %s.", statement)
	return adminwire.Response{Accepted: &adminwire.Accepted{
		ChangeID: changeID,
		Revision: accepted.Revision,
		Repeated: accepted.Repeated,
		InForce:  h.reportInForce(ctx, accepted.Revision),
	}}, nil
}

// propose makes the command's change and commits it. When another operator's
// change came first, a command that keeps parts of the configuration is made
// again on that result, unless the operator named the base revision.
func (h *Handler) propose(ctx context.Context, command *query.Command, proposal query.Proposal) (Accepted, error) {
	for tries := 1; ; tries++ {
		document := h.options.Configuration.Document()
		change, err := command.Change(document, proposal)
		if err != nil {
			return h.acceptedBefore(ctx, document, command, proposal, err)
		}
		accepted, err := h.options.Configuration.Propose(ctx, change)
		if err == nil {
			return accepted, nil
		}
		var reused *revision.ReusedIDError
		if errors.As(err, &reused) {
			return h.sameCommand(ctx, command, proposal, reused)
		}
		moved := h.options.Configuration.Document().Revision > document.Revision
		if conflictOf(err) == nil || !command.Rebuilds() || !moved || tries > maximumRebuilds {
			return Accepted{}, err
		}
	}
}

// acceptedBefore answers for a command that can't be made a change of the present
// document: perhaps because it was accepted already, and its answer was lost.
func (h *Handler) acceptedBefore(ctx context.Context, document *dynamic.Document, command *query.Command, proposal query.Proposal, refused error) (Accepted, error) {
	for _, touch := range document.History {
		if touch.ChangeID == proposal.ChangeID {
			return h.sameCommand(ctx, command, proposal, &revision.ReusedIDError{ID: touch.ChangeID, Revision: touch.Revision})
		}
	}
	return Accepted{}, refused
}

// sameCommand looks whether the accepted change with the proposal's ID is the
// same command of the same operator. Its operation may differ, since it was made
// on another document.
func (h *Handler) sameCommand(ctx context.Context, command *query.Command, proposal query.Proposal, reused *revision.ReusedIDError) (Accepted, error) {
	changes, err := h.options.Configuration.Audit(ctx, reused.Revision-1, 1)
	if err != nil {
		return Accepted{}, fmt.Errorf("look up change %q: %w", reused.ID, err)
	}
	for _, accepted := range changes {
		if accepted.Revision == reused.Revision && accepted.Change.Operator == proposal.Operator &&
			accepted.Change.Statement == command.Statement() {
			return Accepted{Revision: accepted.Revision, Repeated: true}, nil
		}
	}
	return Accepted{}, reused
}

// latest returns the newest accepted changes, oldest first.
func (h *Handler) latest(ctx context.Context, count int) ([]query.AcceptedChange, error) {
	newest := h.options.Configuration.Document().Revision
	after := identity.Revision(0)
	if newest > identity.Revision(count) {
		after = newest - identity.Revision(count)
	}
	return h.options.Configuration.Audit(ctx, after, count)
}
