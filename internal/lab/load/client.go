package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lotusward/lotusward/internal/core/identity"
	"github.com/lotusward/lotusward/internal/wire/enginewire"
)

// maximumEventBytes bounds one line of a stream.
const maximumEventBytes = 1 << 20

// Call is one request of a caller.
type Call struct {
	// Address is the daemon's callers' address, IP:port.
	Address string
	Key     string
	Class   identity.PriorityClass
	// Deadline is how long the caller waits for the first token.
	Deadline time.Duration
	// IdempotencyKey marks a page that must run at most once, when not empty.
	IdempotencyKey string
}

// Answer is what a caller got.
type Answer struct {
	// RequestID is the daemon's identity of the request; empty when unreached.
	RequestID  identity.RequestID
	StatusCode int
	// RunState is what a refusal or a broken answer said, or empty.
	RunState identity.RunState
	// Code says why, in the words of the daemon's API.
	Code string
	// FirstAfter is the wait for the first token or the page.
	FirstAfter time.Duration
	Text       string
	// Whole is set when the answer came to its proper end.
	Whole        bool
	CachedTokens int
	PromptTokens int
	RetryAfter   string
	// Err is a failure of the connection.
	Err error
}

// Client sends callers' requests.
type Client struct {
	http *http.Client
}

// NewClient makes a client with as many connections as are needed.
func NewClient() *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: 30 * time.Second}
	return &Client{http: &http.Client{Transport: transport}}
}

// Close closes unused connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Complete sends a streamed completion.
func (c *Client) Complete(ctx context.Context, call Call, model identity.ModelName, prompt string, tokens int) Answer {
	body, err := json.Marshal(map[string]any{
		"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true,
		"stream_options": map[string]any{"include_usage": true},
	})
	if err != nil {
		return Answer{Err: err}
	}
	began := time.Now()
	response, answer := c.send(ctx, call, http.MethodPost, enginewire.PathCompletions, body)
	if response == nil {
		return answer
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		readRefusal(response.Body, &answer)
		return answer
	}
	answer.readStream(response.Body, began)
	return answer
}

// Page fetches a page of a web-app service.
func (c *Client) Page(ctx context.Context, call Call, service identity.ServiceName, path string, body []byte) Answer {
	began := time.Now()
	target := fmt.Sprintf("/v1/services/%s%s", service, path)
	response, answer := c.send(ctx, call, http.MethodPost, target, body)
	if response == nil {
		return answer
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		readRefusal(response.Body, &answer)
		return answer
	}
	answer.FirstAfter = time.Since(began)
	text, err := io.ReadAll(response.Body)
	answer.Text, answer.Err, answer.Whole = string(text), err, err == nil
	return answer
}

// send sends one request. The response is nil when there was none.
func (c *Client) send(ctx context.Context, call Call, method, path string, body []byte) (*http.Response, Answer) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+call.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, Answer{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+call.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Priority-Class", call.Class.String())
	if call.Deadline > 0 {
		request.Header.Set("X-Request-Timeout-Ms", fmt.Sprint(call.Deadline.Milliseconds()))
	}
	if call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, Answer{Err: err}
	}
	return response, Answer{
		RequestID:  identity.RequestID(response.Header.Get(enginewire.HeaderRequestID)),
		StatusCode: response.StatusCode,
		RetryAfter: response.Header.Get("Retry-After"),
	}
}

// readRefusal takes the run state out of a refusal's body.
func readRefusal(body io.Reader, answer *Answer) {
	var refusal enginewire.Refusal
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		answer.Err = err
		return
	}
	answer.RunState = refusal.Error.RunState
	answer.Code = refusal.Error.Code
}

// chunk is what the load needs of a completion chunk.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *enginewire.RefusalError `json:"error"`
}

var errCut = errors.New("the stream ended without its end marker")

// readStream reads a stream to its end marker.
func (a *Answer) readStream(body io.Reader, began time.Time) {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maximumEventBytes)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			a.Whole = true
			continue
		}
		var parsed chunk
		if a.Err = json.Unmarshal([]byte(data), &parsed); a.Err != nil {
			return
		}
		a.take(parsed, &text, began)
	}
	a.Err = scanner.Err()
	if a.Err == nil && !a.Whole && a.RunState == "" {
		a.Err = errCut
	}
}

func (a *Answer) take(parsed chunk, text *strings.Builder, began time.Time) {
	if parsed.Error != nil {
		a.RunState = parsed.Error.RunState
		a.Code = parsed.Error.Code
	}
	if parsed.Usage != nil {
		a.PromptTokens = parsed.Usage.PromptTokens
		a.CachedTokens = parsed.Usage.PromptTokensDetails.CachedTokens
	}
	for _, choice := range parsed.Choices {
		if choice.Text != "" && text.Len() == 0 {
			a.FirstAfter = time.Since(began)
		}
		text.WriteString(choice.Text)
	}
}
