// Package credential holds the keys of lab deployments. They protect nothing.
package credential

import (
	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/core/view"
)

const (
	// PeerKey is the key between the daemons of a deployment.
	PeerKey = "lab-key-of-at-least-thirty-two-bytes"
	// OperatorName is the name of a deployment's one operator.
	OperatorName = "lab"
	// OperatorToken is that operator's bearer token.
	OperatorToken = "lab-operator-token"
)

// Operator is the operator of a deployment, who may give commands.
func Operator() static.Operator {
	return static.Operator{Name: OperatorName, Role: static.RoleOperate, TokenSHA256: view.HashKey(OperatorToken)}
}
