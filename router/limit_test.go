package router_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/quota"
	"ebonypulley/router"
)

// TestRetryAfterEndpointLimit: a caller refused only because all engines are at their
// advertised limits must not be told to retry before one of them accepts a request.
func TestRetryAfterEndpointLimit(t *testing.T) {
	for range 10 { // some are admitted by chance
		synctest.Test(t, testRetryAfterEndpointLimit)
	}
}

func testRetryAfterEndpointLimit(t *testing.T) {
	list := []*router.Endpoint{engine("d1", router.Decode), engine("d2", router.Decode)}
	r := newRouter(&fakeEndpoints{}, list...)
	r.SetFleetSize(1)
	for _, e := range list {
		r.HandleNotice(e, router.Notice{SentAt: time.Now(), Limit: router.RequestLimit{Advertised: true, PerSecond: 0.01}})
	}
	var fail *router.Failure
	for range 10 {
		if _, fail = r.Generate(t.Context(), newCall(resumableRoute, llm), new(fakeSink)); fail != nil {
			break
		}
	}
	require.NotNil(t, fail)
	assert.Equal(t, router.NotRun, fail.Reason)
	room := time.Hour
	for _, e := range list {
		room = min(room, r.Quotas().Take(time.Now(), quota.EndpointID(e.ID), 0).Wait)
	}
	assert.GreaterOrEqual(t, fail.RetryAfter, room)
}
