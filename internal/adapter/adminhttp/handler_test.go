package adminhttp_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lotusward/lotusward/internal/adapter/adminhttp"
	"github.com/lotusward/lotusward/internal/config/dynamic"
	"github.com/lotusward/lotusward/internal/config/static"
	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/core/query"
	"github.com/lotusward/lotusward/internal/core/revision"
	"github.com/lotusward/lotusward/internal/core/view"
	"github.com/lotusward/lotusward/internal/finding"
	"github.com/lotusward/lotusward/internal/port"
	"github.com/lotusward/lotusward/internal/wire/adminwire"
)

var epoch = time.Date(2026, 5, 1, 17, 0, 0, 0, time.UTC)

// script is a daemon whose parts answer as a test says.
type script struct {
	document *dynamic.Document
	proposed []dynamic.Change
	result   error
	audit    []query.AcceptedChange
	engines  []query.Engine
	peers    adminhttp.PeerTables
	log      bytes.Buffer
}

func (s *script) Document() *dynamic.Document { return s.document }

func (s *script) Propose(_ context.Context, change dynamic.Change) (adminhttp.Accepted, error) {
	s.proposed = append(s.proposed, change)
	return adminhttp.Accepted{Revision: s.document.Revision + 1}, s.result
}

func (s *script) Audit(context.Context, identity.Revision, int) ([]query.AcceptedChange, error) {
	return s.audit, nil
}

func (s *script) Table(context.Context, query.Source) (query.Table, error) {
	return query.TableOf(s.engines), nil
}

func (s *script) Tables(context.Context, query.Source) adminhttp.PeerTables { return s.peers }

func (s *script) post(token, path string, body any) (int, string) {
	log := logrus.New()
	log.SetOutput(&s.log)
	handler := adminhttp.New(adminhttp.Options{
		Self: "d1",
		Operators: []static.Operator{
			{Name: "rita", Role: static.RoleRead, TokenSHA256: view.HashKey("read-token")},
			{Name: "otto", Role: static.RoleOperate, TokenSHA256: view.HashKey("operate-token")},
		},
		Configuration: s, State: s, Peers: s, Log: log,
		Clock: func() time.Time { return epoch }, NewChangeID: func() string { return "made-id" },
	})
	text, isText := body.(string)
	if !isText {
		encoded, _ := json.Marshal(body)
		text = string(encoded)
	}
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(text))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.String()
}

func (s *script) say(token, statement string) (int, string) {
	return s.post(token, adminwire.PathStatements, adminwire.StatementRequest{Statement: statement})
}

func TestOnlyOperatorsWithTheRoleGiveCommands(t *testing.T) {
	daemon := &script{document: &dynamic.Document{}}
	for _, refused := range []struct {
		token, statement string
		status           int
	}{
		{"", "show engines", http.StatusUnauthorized},
		{"read-tokem", "show engines", http.StatusUnauthorized},
		{"", "drain backend e1", http.StatusUnauthorized},
		{"read-token", "drain backend e1", http.StatusForbidden},
	} {
		status, body := daemon.say(refused.token, refused.statement)
		assert.Equal(t, status, refused.status, body)
	}
	status, _ := daemon.post("read-token", adminwire.PathConfiguration, adminwire.ImportRequest{})
	assert.Equal(t, status, http.StatusForbidden)
	assert.Equal(t, len(daemon.proposed), 0)
	assert.Assert(t, strings.Contains(daemon.log.String(), `operator=rita statement="drain backend e1"`), daemon.log.String())

	status, _ = daemon.say("read-token", "show engines")
	assert.Equal(t, status, http.StatusOK)
	status, body := daemon.say("operate-token", "drain backend e1")
	assert.Equal(t, status, http.StatusOK, body)
	assert.Equal(t, daemon.proposed[0].Operator, "otto")
	assert.Equal(t, daemon.proposed[0].Statement, "drain backend e1")
	assert.Equal(t, daemon.proposed[0].ID, "made-id")
}

func TestFailuresAreTypedAndChangeNothing(t *testing.T) {
	conflict := &dynamic.ConflictError{Item: "event/race", BasedOn: json.RawMessage(`{"engines":1}`), Current: json.RawMessage(`{"engines":9}`), ChangedBy: "rita"}
	for name, trial := range map[string]struct {
		statement string
		result    error
		status    int
		parts     []string
	}{
		"syntax":   {"drain backand e1", nil, 400, []string{`"code":"invalid_statement"`, `"column":7`, `"suggestion":"backend"`}},
		"refused":  {"set limits of tenamt weight 2", nil, 422, []string{`"code":"refused"`, "did you mean tenant?"}},
		"conflict": {"cancel event race if revision 2", conflict, 409, []string{`"code":"conflict"`, `"based_on":{"engines":1}`, `"current":{"engines":9}`, `"changed_by":"rita"`}},
		"findings": {"drain backend e1", &finding.Error{Findings: []finding.Finding{{Message: "bad"}}}, 422, []string{`"code":"invalid_change"`, `"message":"bad"`}},
		"reused":   {"drain backend e1 as x", &revision.ReusedIDError{ID: "x", Revision: 3}, 409, []string{`"code":"reused_change_id"`}},
		"down":     {"drain backend e1", &port.UnavailableError{Service: "table", Cause: errors.New("down")}, 503, []string{`"code":"unavailable"`}},
		"unknown":  {"drain backend e1", &port.OutcomeUnknownError{Service: "table", Cause: errors.New("lost")}, 503, []string{`"outcome_unknown":true`, `"change_id":"made-id"`}},
	} {
		daemon := &script{document: &dynamic.Document{Revision: 5, Tenants: []dynamic.Tenant{{Name: "tenant"}}}, result: trial.result}
		status, body := daemon.say("operate-token", trial.statement)
		assert.Equal(t, status, trial.status, "%s: %s", name, body)
		for _, part := range trial.parts {
			assert.Assert(t, strings.Contains(body, part), "%s lacks %s: %s", name, part, body)
		}
		assert.Equal(t, strings.Contains(body, "outcome_unknown"), name == "unknown", name)
	}
	daemon := &script{document: &dynamic.Document{}}
	for _, body := range []string{"", "{", `{"statement":1}`, `{"other":""}`, `{"statement":"show engines"} {}`, `{"statement":"` + strings.Repeat("x", 1<<20) + `"}`} {
		status, answer := daemon.post("operate-token", adminwire.PathStatements, body)
		assert.Equal(t, status, http.StatusBadRequest, answer)
	}
	assert.Equal(t, len(daemon.proposed), 0)
}

func TestQueriesMergeAllDaemonsAndNameTheMissing(t *testing.T) {
	daemon := &script{
		document: &dynamic.Document{Revision: 7},
		engines:  []query.Engine{{Engine: "e1", Assigned: 2, Waiting: 1, Observed: epoch}, {Engine: "e2", Assigned: 1}},
		peers: adminhttp.PeerTables{
			Tables: []query.Table{
				query.TableOf([]query.Engine{{Engine: "e1", Assigned: 3, Waiting: 4, Leaving: true, Observed: epoch.Add(time.Second)}}),
				query.TableOf([]query.Model{{Model: "an answer of another version"}}),
			},
			Missing: []identity.DaemonID{"d9", "d3"},
		},
	}
	status, body := daemon.say("read-token", "show engines where assigned > 1 order by assigned desc limit 1")
	assert.Equal(t, status, http.StatusOK)
	var response adminwire.Response
	assert.NilError(t, json.Unmarshal([]byte(body), &response))
	assert.DeepEqual(t, response.Table.Rows, query.TableOf([]query.Engine{
		{Engine: "e1", Assigned: 5, Waiting: 4, Leaving: true, Observed: epoch.Add(time.Second)},
	}).Rows)
	assert.DeepEqual(t, response.Partial.Missing, []identity.DaemonID{"d3", "d9"})

	daemon.peers = adminhttp.PeerTables{Tables: []query.Table{query.TableOf([]query.InForce{{Daemon: "d2", Revision: 6, Reachable: true}})}, Missing: []identity.DaemonID{"d3"}}
	_, body = daemon.say("read-token", "show in-force where behind = true")
	assert.NilError(t, json.Unmarshal([]byte(body), &response))
	assert.DeepEqual(t, response.Table.Rows, query.TableOf([]query.InForce{
		{Daemon: "d2", Revision: 6, Behind: true, Reachable: true}, {Daemon: "d3", Behind: true},
	}).Rows)
	_, body = daemon.say("operate-token", "drain backend e1")
	response = adminwire.Response{}
	assert.NilError(t, json.Unmarshal([]byte(body), &response))
	assert.DeepEqual(t, response.Accepted.InForce, adminwire.InForce{Revision: 8, Total: 3, Behind: []identity.DaemonID{"d1", "d2", "d3"}})
}
