package adminhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/wire/adminwire"
)

const bearerPrefix = "Bearer "

// account is an operator with the decoded hash of the token.
type account struct {
	name string
	role static.Role
	hash []byte
}

// accountsOf decodes the operators' hashes. Settings have been checked; an
// operator whose hash is none could never authenticate, and is left out.
func accountsOf(operators []static.Operator) []account {
	accounts := make([]account, 0, len(operators))
	for _, operator := range operators {
		hash, err := hex.DecodeString(operator.TokenSHA256)
		if err != nil || len(hash) != sha256.Size {
			continue
		}
		accounts = append(accounts, account{name: operator.Name, role: operator.Role, hash: hash})
	}
	return accounts
}

// authenticate finds the operator of a request. The time it takes does not
// depend on which token was given, nor on how much of it is right.
func (h *Handler) authenticate(request *http.Request) (account, *adminwire.Error) {
	token, isBearer := strings.CutPrefix(request.Header.Get("Authorization"), bearerPrefix)
	sum := sha256.Sum256([]byte(token))
	found := -1
	for index := range h.accounts {
		if subtle.ConstantTimeCompare(h.accounts[index].hash, sum[:]) == 1 {
			found = index
		}
	}
	if !isBearer || found < 0 {
		return account{}, &adminwire.Error{
			Code:    adminwire.CodeUnauthenticated,
			Message: "a bearer token of a known operator is needed",
		}
	}
	return h.accounts[found], nil
}

// mayOperate refuses operators who may only read.
func (a account) mayOperate() *adminwire.Error {
	if a.role == static.RoleOperate {
		return nil
	}
	return &adminwire.Error{
		Code:    adminwire.CodeForbidden,
		Message: "operator " + a.name + " has the role " + string(a.role) + "; commands need the role " + string(static.RoleOperate),
	}
}
