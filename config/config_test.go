package config_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ebonypulley/config"
	"ebonypulley/examples"
	_ "ebonypulley/internal/fixedseed"
	"ebonypulley/invariant"
	_ "ebonypulley/plugins"
)

func TestExamplesHaveNoFindings(t *testing.T) {
	for name, text := range map[string][]byte{"almaty": examples.Almaty, "mexico": examples.Mexico} {
		_, findings := config.Parse(name, text)
		assert.Empty(t, findings, name)
	}
}

// TestParseDoesNotModifyText: parsing must not blank the comments in the published text.
// Otherwise two entries would send different texts of the same document to an agent, which
// would log a conflict.
func TestParseDoesNotModifyText(t *testing.T) {
	text := bytes.Clone(examples.Almaty)
	config.Parse("almaty", text)
	assert.True(t, bytes.Equal(examples.Almaty, text))
}

// TestAllFindingsAreReported: mistakes of different kinds are all reported in one run,
// each with its position.
func TestAllFindingsAreReported(t *testing.T) {
	text, err := os.ReadFile("testdata/five-mistakes.jsonc")
	require.NoError(t, err)
	_, findings := config.Parse("five-mistakes.jsonc", text)
	var got []string
	for _, f := range findings {
		got = append(got, f.String())
	}
	want := []string{
		`five-mistakes.jsonc:10:78: error: tier "gold" is not declared`,
		`five-mistakes.jsonc:13:54: error: services: name "enrolment" is already used at line 13`,
		`five-mistakes.jsonc:16:94: error: headroom must be between 0 and requests-1; otherwise spare tiers could never run`,
		`five-mistakes.jsonc:20:5: error: GET /seats/7 is covered by the call at line 19 and would never match`,
		`five-mistakes.jsonc:5:17: error: deadline is above max_deadline (10m0s)`,
	}
	assert.ElementsMatch(t, want, got)
}

// TestDecodeFindings covers findings of syntax, field names and types.
func TestDecodeFindings(t *testing.T) {
	for text, want := range map[string]string{
		`{"generation": 1,, }`:                       "f:1:18: error: ",
		`{"generation": "one"}`:                      `f:1:16: error: invalid value "one"; want a non-negative integer`,
		`{"generaton": 1}`:                           `f:1:2: error: unknown field "generaton"`,
		`{"generation": 1, "generation": 2}`:         `f:1:19: error: duplicate field "generation"`,
		"{\n \"targets\": {\"ttft\": \"1 second\"}}": `f:2:22: error: "1 second" is not a duration`,
		`{"tiers": {}}`:                              `f:1:11: error: unexpected object; want a list`,
		`{"data_centres": ["a"]}`:                    `want an object`,
	} {
		_, findings := config.Parse("f", []byte(text))
		require.NotEmpty(t, findings, text)
		assert.Contains(t, findings[0].String(), want)
	}
}

func document(generation uint64, name string) []byte {
	doc, _ := config.Parse("almaty", examples.Almaty)
	doc.Generation = generation
	doc.Deployment = name
	text, _ := json.Marshal(doc)
	return text
}

// TestStoreIsMonotone: documents are offered to several stores in any order and
// repeatedly. No store ever reverts to a lower version, invalid documents change
// nothing, and all stores end with the same document.
func TestStoreIsMonotone(t *testing.T) {
	texts := [][]byte{
		document(1, "a"), document(2, "a"), document(2, "b"), document(2, "c"), document(3, "a"), document(3, "b"),
		bytes.Replace(document(9, "bad"), []byte(`"tier":"paid"`), []byte(`"tier":"none"`), 1),
	}
	rapid.Check(t, func(t *rapid.T) {
		defer invariant.SetHandler(func(r invariant.Rule, d string) { t.Fatalf("%s: %s", r, d) })()
		stores := []*config.Store{new(config.Store), new(config.Store), new(config.Store)}
		for range rapid.IntRange(0, 12).Draw(t, "offers") {
			s := rapid.SampledFrom(stores).Draw(t, "store")
			before := s.Version()
			s.Offer("test", rapid.SampledFrom(texts).Draw(t, "text"))
			if before.Newer(s.Version()) {
				t.Fatalf("reverted from %v to %v", before, s.Version())
			}
		}
		for _, from := range stores { // finally each store is offered the documents of all
			for _, to := range stores {
				if cur := from.Current(); cur != nil {
					to.Offer("peer", cur.Text)
				}
			}
		}
		for _, to := range stores {
			assert.Equal(t, stores[0].Version(), to.Version())
			assert.Less(t, to.Generation(), uint64(9))
		}
	})
}

func TestOfferResults(t *testing.T) {
	s := new(config.Store)
	offer := func(text []byte) config.OfferResult {
		v, _ := s.Offer("test", text)
		return v
	}
	assert.Equal(t, config.Accepted, offer(document(2, "a")))
	assert.Equal(t, config.Unchanged, offer(document(2, "a")))
	assert.Equal(t, config.Conflict, offer(document(2, "b")))
	assert.Equal(t, config.Stale, offer(document(1, "a")))
	assert.Equal(t, config.Invalid, offer([]byte("{}")))
	assert.Equal(t, config.Accepted, offer(document(3, "a")))
}

func TestCallMatching(t *testing.T) {
	r := config.Route{Calls: []config.Call{
		{Method: "GET", Path: "/seats/*"},
		{Method: "POST", Path: "/bookings"},
	}}
	assert.NotNil(t, r.Call("GET", "/seats"))
	assert.NotNil(t, r.Call("GET", "/seats/4/row"))
	assert.Nil(t, r.Call("GET", "/seatsX"))
	assert.Nil(t, r.Call("POST", "/bookings/1"))
	assert.NotNil(t, r.Call("POST", "/bookings"))
}

// FuzzParse: no text may crash the parser, and a document without errors parses again
// after it was marshalled.
func FuzzParse(f *testing.F) {
	f.Add(examples.Mexico)
	f.Add([]byte(`{"generation": 1, "tiers": [{"name": "x", "max_wait": "5s"}]} // c`))
	f.Add([]byte(strings.Repeat("[", 200)))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, findings := config.Parse("fuzz", text)
		if findings.Errors() > 0 {
			return
		}
		again, err := json.Marshal(doc)
		require.NoError(t, err)
		_, findings = config.Parse("again", again)
		require.Zero(t, findings.Errors(), fmt.Sprint(findings))
	})
}

func BenchmarkParse(b *testing.B) {
	for _, workspaces := range []int{100, 1000, 3000} {
		doc, _ := config.Parse("almaty", examples.Almaty)
		for i := range workspaces {
			doc.Workspaces = append(doc.Workspaces, config.Workspace{
				Name: fmt.Sprintf("workspace-%d", i), Tier: "paid", KeySHA256: []string{fmt.Sprintf("%064x", i+1)},
			})
		}
		text, _ := json.Marshal(doc)
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				config.Parse("bench", text)
			}
		})
	}
}

// TestFindingsQuoteLittle guards against a line of the log, or of the check, of as many bytes as an odd
// value has.
func TestFindingsQuoteLittle(t *testing.T) {
	long := strings.Repeat("9", 60<<10)
	for _, odd := range []string{`{"generation":` + long + `}`, `{"generation":"` + long + `"}`, `{"x` + long + `":1}`, `{"limits":{"deadline":"` + long + `"}}`, long, `{` + long, `{"generation":1` + long + `e}`} {
		_, findings := config.Parse("f", []byte(odd))
		require.NotEmpty(t, findings, odd[:20])
		assert.Less(t, len(findings[0].String()), 600, odd[:20])
	}
	_, findings := config.Parse("f", []byte(`{"generation":`+long+`}`))
	assert.Contains(t, findings[0].Text, "want a non-negative integer")
}
