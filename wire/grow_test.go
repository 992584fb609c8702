package wire_test

import (
	"bytes"
	"encoding/binary"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"ebonypulley/wire"
)

// otherReport is a Report of another version: fields were added and dropped since, and
// those of both have the same names.
type otherReport struct {
	From     string
	Work     []wire.EndpointWork
	Revision uint64
	Added    []string
}

// formerReport is a Report of the version whose messages were lists of fields.
type formerReport struct {
	From        string
	DataCentre  string
	Incarnation wire.Incarnation
	Members     []string
	Work        []wire.EndpointWork
	Avoided     []wire.AvoidedEndpoint
	Demand      []wire.ServiceDemand
	Revision    uint64
	Behind      bool
	Link        float64
	NoStore     bool
}

// laterReport is a Report of a version that added a field.
type laterReport struct {
	Former formerReport
	Added  []string
}

// list returns its fields in their order: those of the first version, those of today, which
// are not set, and the one that was added.
func (r laterReport) list() any {
	f := r.Former
	list := []any{f.From, f.DataCentre, f.Incarnation, f.Members, f.Work, f.Avoided, f.Demand, f.Revision, f.Behind, f.Link, f.NoStore}
	for len(list) < reflect.TypeFor[wire.Report]().NumField() {
		list = append(list, nil)
	}
	return append(list, r.Added)
}

// TestVersionsReadEachOther: while a release is rolled out, half of the entries do not hear
// the other half: each refuses the reports of the other version, because a field was added.
// They choose engines without each other's work, and all take larger parts of the retry
// budget. Fields that a receiver does not know are passed over, and missing ones are zero.
func TestVersionsReadEachOther(t *testing.T) {
	work := []wire.EndpointWork{{Endpoint: "e", Decodes: 2, KV: 11}}
	for _, crashes := range [][]wire.Crash{nil, {{Content: 5, Endpoint: "e"}}} {
		sent := &wire.Report{From: "a:1", Work: work, Revision: 7, Link: 20, Crashes: crashes}
		frame, err := wire.AppendFrame(nil, sent)
		require.NoError(t, err)
		const head = 5
		var former formerReport
		require.NoError(t, msgpack.Unmarshal(frame[head:], &former), "the version before reads ours")
		assert.Equal(t, formerReport{From: "a:1", Work: work, Revision: 7, Link: 20}, former)
		got, err := wire.NewReader(bytes.NewReader(frame)).Next()
		require.NoError(t, err)
		assert.Equal(t, sent, got)
	}

	got := read(t, wire.KindReport, laterReport{Former: formerReport{From: "d:1", Work: work}, Added: []string{"x"}}.list(), true)
	assert.Equal(t, &wire.Report{From: "d:1", Work: work}, got)
	got = read(t, wire.KindReport, otherReport{From: "b:1", Work: work, Revision: 9, Added: []string{"x"}}, false)
	assert.Equal(t, &wire.Report{From: "b:1", Work: work, Revision: 9}, got)
	got = read(t, wire.KindReport, formerReport{From: "c:1", Work: work, Avoided: []wire.AvoidedEndpoint{{Endpoint: "e", Left: time.Second}}, Behind: true}, true)
	assert.Equal(t, &wire.Report{From: "c:1", Work: work, Avoided: []wire.AvoidedEndpoint{{Endpoint: "e", Left: time.Second}}, Behind: true}, got)
}

// read returns a message whose body another version encoded, as a list of fields or by
// their names.
func read(t *testing.T, kind wire.Kind, body any, list bool) wire.Message {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseArrayEncodedStructs(list)
	require.NoError(t, enc.Encode(body))
	frame := binary.BigEndian.AppendUint32(nil, uint32(b.Len()))
	frame = append(append(frame, byte(kind)), b.Bytes()...)
	m, err := wire.NewReader(bytes.NewReader(frame)).Next()
	require.NoError(t, err)
	return m
}
