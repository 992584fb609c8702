package inspect_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/inspect"
)

const logs = `  5.46 edge-2 {"level":"warn","ts":100.5,"msg":"request failed","entry":"edge-2","request":"a","why":"not-run","took":0.2,"error":"router.not-run.no-endpoint: no engine of llm has room","event":6003}
{"level":"info","ts":100.1,"msg":"generation placed","entry":"edge-1","request":"a","decode":"i-1","fill":0.98,"event":6004}
{"level":"warn","ts":101,"msg":"request failed","entry":"edge-1","request":"b","why":"not-run","error":"router.not-run.no-endpoint: no engine of llm has room","event":6003}
{"level":"warn","ts":102,"msg":"answer aborted: it could not be completed","entry":"edge-1","request":"c","why":"unknown","error":"router.lost: stream of i-1, cause: read tcp 1.2.3.4:5: connection reset by peer","event":4003}
{"level":"info","ts":103,"msg":"request answered","entry":"edge-1","request":"d","event":6002}
not a log line
`

// TestRequestLinesAcrossProcesses: the lines of a request that was handled by
// two entries are returned in order of time, whatever prefix they have and
// whatever order they were read in.
func TestRequestLinesAcrossProcesses(t *testing.T) {
	lines, skipped, err := inspect.Read(strings.NewReader(logs))
	require.NoError(t, err)
	assert.Equal(t, 1, skipped)
	found := inspect.RequestLines(lines, "a")
	require.Len(t, found, 2)
	assert.Equal(t, 6004, found[0].Event)
	assert.Equal(t, "0.98", found[0].Value("fill"))
	assert.Equal(t, "edge-2", found[1].Process)
}

func TestFailureCauses(t *testing.T) {
	lines, _, err := inspect.Read(strings.NewReader(logs))
	require.NoError(t, err)
	causes := inspect.FailureCauses(lines)
	require.Len(t, causes, 2)
	assert.Equal(t, 2, causes[0].Count)
	assert.Equal(t, "router.not-run.no-endpoint: no engine of llm has room", causes[0].Error)
	assert.Equal(t, "router.lost: connection reset by peer", causes[1].Error)
	assert.Equal(t, "c", causes[1].Example)
}
