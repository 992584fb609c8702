package fleet_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/entry"
	"ebonypulley/fleet"
	"ebonypulley/load"
)

// errorReply is the error response that a caller receives.
type errorReply struct {
	status  int
	header  http.Header
	message string
	code    string
}

func (s *sim) sendRaw(method, path, key, deadline, body string) errorReply {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), method, fleet.EntryURLs(s.Plan.Document)[0]+path, strings.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	if deadline != "" {
		req.Header.Set(entry.HeaderDeadline, deadline)
	}
	resp, err := s.client.Do(req)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	var e struct {
		Error struct{ Message, Type, Code string }
	}
	text, _ := io.ReadAll(resp.Body)
	require.NoError(s.t, json.Unmarshal(text, &e), "%s", text)
	return errorReply{resp.StatusCode, resp.Header, e.Error.Message, e.Error.Code}
}

// TestBadInput: each invalid request must get an error that says what is wrong, a request ID
// and the outcome that nothing ran; the entry must go on serving.
func TestBadInput(t *testing.T) {
	runSim(t, func(s *sim) {
		rows := []struct {
			name, method, path, key, deadline, body string
			status                                  int
			code                                    string
		}{
			{"broken JSON", "POST", "/v1/completions", paidKey, "", `{"model":`, 400, "invalid_value"},
			{"unknown model", "POST", "/v1/completions", paidKey, "", `{"model":"x","prompt":"a"}`, 404, "model_not_found"},
			{"no prompt", "POST", "/v1/chat/completions", paidKey, "", `{"model":"drafting","messages":[]}`, 400, "invalid_value"},
			{"wrong prompt", "POST", "/v1/completions", paidKey, "", `{"model":"drafting","prompt":[1,2]}`, 400, "invalid_value"},
			{"negative length", "POST", "/v1/completions", paidKey, "", `{"model":"drafting","prompt":"a","max_tokens":-1}`, 400, "invalid_value"},
			{"prompt too long", "POST", "/v1/completions", paidKey, "", `{"model":"drafting","prompt":"` + strings.Repeat("a", 70_000) + `"}`, 400, "invalid_value"},
			{"oversized body", "POST", "/v1/completions", paidKey, "", strings.Repeat("a", 1<<20+1), 413, "body_too_large"},
			{"wrong key", "POST", "/v1/completions", "guess", "", `{}`, 401, "invalid_api_key"},
			{"absurd deadline", "POST", "/v1/completions", paidKey, "900h", `{}`, 400, "invalid_value"},
			{"negative deadline", "POST", "/v1/completions", paidKey, "-1s", `{}`, 400, "invalid_value"},
			{"unknown path", "GET", "/v2/models", paidKey, "", "", 404, "unknown_path"},
			{"wrong method", "GET", "/v1/completions", paidKey, "", "", 405, "wrong_method"},
			{"unknown route", "GET", "/app/none/x", paidKey, "", "", 404, "unknown_route"},
			{"undeclared call", "PUT", "/app/enrolment/bookings", paidKey, "", "", 404, "unknown_call"},
		}
		for _, row := range rows {
			r := s.sendRaw(row.method, row.path, row.key, row.deadline, row.body)
			assert.Equal(t, row.status, r.status, row.name)
			assert.Equal(t, row.code, r.code, row.name)
			assert.NotEmpty(t, r.message, row.name)
			assert.NotEmpty(t, r.header.Get(entry.HeaderRequestID), row.name)
			assert.Equal(t, string(entry.OutcomeNotRun), r.header.Get(entry.HeaderOutcome), row.name)
		}
		assertComplete(t, s.sendGeneration(load.GenerationSpec{}))
	})
}

// TestHalfSentRequest guards against a caller that sends half of a request and stops. The entry
// must time out the body and free the connection and its memory.
func TestHalfSentRequest(t *testing.T) {
	runSim(t, func(s *sim) {
		addr := s.Plan.Entries[0].Listen
		conn, err := s.net.Dialer("caller")(context.Background(), "tcp", addr)
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+paidKey+"\r\nContent-Length: 1000\r\n\r\n{\"mod")
		require.NoError(t, err)
		start := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		assert.Less(t, time.Since(start), 16*time.Second)
	})
}

// TestSlowReaderHoldsNoMemory guards against a caller that reads a long answer very slowly. The
// engine must finish at its own speed and free its memory; the tokens wait at the agent and the
// caller gets all of them.
func TestSlowReaderHoldsNoMemory(t *testing.T) {
	runSim(t, func(s *sim) {
		body := `{"model":"drafting","stream":true,"max_tokens":500,"prompt":"Slow reader"}`
		req, err := http.NewRequestWithContext(s.t.Context(), "POST", fleet.EntryURLs(s.Plan.Document)[0]+"/v1/completions", strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+paidKey)
		resp, err := s.client.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		scan := bufio.NewScanner(resp.Body)
		events, done := 0, false
		for scan.Scan() {
			if strings.HasPrefix(scan.Text(), "data: [DONE]") {
				done = true
			}
			events++
			if events == 200 {
				time.Sleep(10 * time.Second)
				assert.Zero(t, s.HeldRequests(), "the engine still holds the request of a slow reader")
			}
		}
		assert.True(t, done)
	})
}

// TestRefusalIsImmediate: if no endpoint can take a request, the refusal must not wait for the
// deadline, and must carry Retry-After.
func TestRefusalIsImmediate(t *testing.T) {
	runSim(t, func(s *sim) {
		for _, name := range []string{"alm-a-app-1", "alm-b-app-1"} {
			s.crash(name + "-engine")
		}
		time.Sleep(2 * time.Second) // both agents have detected the crash
		start := time.Now()
		r := s.sendRaw("POST", "/app/enrolment/bookings", paidKey, "60s", "{}")
		assert.Equal(t, http.StatusServiceUnavailable, r.status)
		assert.NotEmpty(t, r.header.Get("Retry-After"))
		assert.Less(t, time.Since(start), 3*time.Second)
	})
}
