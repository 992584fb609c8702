package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonypulley/settings"
)

func write(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// The defaults that are printed must be accepted when read.
func TestDefaultsAreValid(t *testing.T) {
	text, err := settings.Format(settings.DefaultEntry())
	require.NoError(t, err)
	e, err := settings.Entry(write(t, string(text)))
	require.NoError(t, err)
	assert.Equal(t, settings.DefaultEntry(), e)
	text, err = settings.Format(settings.DefaultAgent())
	require.NoError(t, err)
	_, err = settings.Agent(write(t, string(text)))
	assert.NoError(t, err)
	text, err = settings.Format(settings.DefaultStandin())
	require.NoError(t, err)
	_, err = settings.Standin(write(t, string(text)))
	assert.NoError(t, err)
}

func TestAllFindingsAtOnce(t *testing.T) {
	_, err := settings.Entry(write(t, `{
  // a comment
  "data_centre": "alm-a",
  "listen": "somewhere",
  "config_service": "ftp://x"
}`))
	require.Error(t, err)
	for _, want := range []string{
		"name is missing",
		`:4:13: error: listen must be IP:port, not "somewhere"`,
		`:5:21: error: config_service must be an http or https URL, not "ftp://x"`,
	} {
		assert.ErrorContains(t, err, want)
	}
	_, err = settings.Entry(write(t, `{"listn": ""}`))
	assert.ErrorContains(t, err, `unknown field "listn"`)
	_, err = settings.Entry("no such file")
	assert.Error(t, err)
}

// TestPlatformEntrySettings: an operator's mistake in the settings of an entry shows as an
// entry that starts and keeps other limits than were meant. All mistakes are told at once.
func TestPlatformEntrySettings(t *testing.T) {
	text, err := settings.Format(settings.DefaultPlatformEntry())
	require.NoError(t, err)
	got, err := settings.PlatformEntry(write(t, string(text)))
	require.NoError(t, err)
	assert.Equal(t, settings.DefaultPlatformEntry(), got)
	_, err = settings.PlatformEntry(write(t, `{
  "quota_window": "0s",
  "quota_overrun": -0.1,
  "quota_slack": -1
}`))
	for _, field := range []string{"quota_window", "quota_overrun", "quota_slack", "name", "listen"} {
		assert.ErrorContains(t, err, field)
	}
}

// TestFractionalRetrySlack: an entry does not start, because the platform reckons the retries
// that its fleet may make as a fraction.
func TestFractionalRetrySlack(t *testing.T) {
	text, err := settings.Format(settings.DefaultPlatformEntry())
	require.NoError(t, err)
	got, err := settings.PlatformEntry(write(t, strings.Replace(string(text), `"retry_slack": 50`, `"retry_slack": 36.18`, 1)))
	require.NoError(t, err)
	assert.InDelta(t, 36.18, got.RetrySlack, 0.001)
}
