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

func writeFile(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// TestDefaultsAreValid: the default settings, as printed, are accepted when read.
func TestDefaultsAreValid(t *testing.T) {
	text, err := settings.Format(settings.DefaultEntry())
	require.NoError(t, err)
	e, err := settings.LoadEntry(writeFile(t, string(text)))
	require.NoError(t, err)
	assert.Equal(t, settings.DefaultEntry(), e)
	text, err = settings.Format(settings.DefaultAgent())
	require.NoError(t, err)
	_, err = settings.LoadAgent(writeFile(t, string(text)))
	assert.NoError(t, err)
	text, err = settings.Format(settings.DefaultStandin())
	require.NoError(t, err)
	_, err = settings.LoadStandin(writeFile(t, string(text)))
	assert.NoError(t, err)
}

func TestAllFindingsAreReported(t *testing.T) {
	_, err := settings.LoadEntry(writeFile(t, `{
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
	_, err = settings.LoadEntry(writeFile(t, `{"listn": ""}`))
	assert.ErrorContains(t, err, `unknown field "listn"`)
	_, err = settings.LoadEntry("no such file")
	assert.Error(t, err)
}

// TestPlatformEntrySettings: with invalid settings an entry must not start, because it
// would enforce other limits than the operator intended. All findings are reported at once.
func TestPlatformEntrySettings(t *testing.T) {
	text, err := settings.Format(settings.DefaultPlatformEntry())
	require.NoError(t, err)
	got, err := settings.LoadPlatformEntry(writeFile(t, string(text)))
	require.NoError(t, err)
	assert.Equal(t, settings.DefaultPlatformEntry(), got)
	_, err = settings.LoadPlatformEntry(writeFile(t, `{
  "quota_window": "0s",
  "quota_overrun": -0.1,
  "quota_slack": -1,
  "memory_mb": -1,
  "max_descriptors": -1
}`))
	for _, field := range []string{"quota_window", "quota_overrun", "quota_slack", "memory_mb", "max_descriptors", "name", "listen"} {
		assert.ErrorContains(t, err, field)
	}
}

// TestFractionalRetrySlack: the platform sets retry_slack to a fraction. An entry that
// accepted only integers would not start.
func TestFractionalRetrySlack(t *testing.T) {
	text, err := settings.Format(settings.DefaultPlatformEntry())
	require.NoError(t, err)
	got, err := settings.LoadPlatformEntry(writeFile(t, strings.Replace(string(text), `"retry_slack": 50`, `"retry_slack": 36.18`, 1)))
	require.NoError(t, err)
	assert.InDelta(t, 36.18, got.RetrySlack, 0.001)
}
