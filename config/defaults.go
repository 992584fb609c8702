package config

import (
	"cmp"
	"time"
)

// Defaults of fields that a document leaves out or sets to 0.
const (
	defaultBodyBytes         = 1 << 20
	defaultPromptTokens      = 32768
	defaultOutputTokens      = 512
	defaultDeadline          = 60 * time.Second
	defaultMaxDeadline       = 10 * time.Minute
	defaultLeaseTTL          = 3 * time.Second
	defaultIdempotencyWindow = 10 * time.Minute
	defaultIdempotencyKeys   = 100_000
	defaultRetryRatio        = 0.1
	defaultTTFT              = time.Second
	defaultTBT               = 71 * time.Millisecond
	defaultQueueLength       = 64
)

func (d *Document) setDefaults() {
	l := &d.Limits
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, defaultBodyBytes)
	l.MaxPromptTokens = cmp.Or(l.MaxPromptTokens, defaultPromptTokens)
	l.MaxOutputTokens = cmp.Or(l.MaxOutputTokens, defaultOutputTokens)
	l.DefaultDeadline = cmp.Or(l.DefaultDeadline, Duration(defaultDeadline))
	l.MaxDeadline = cmp.Or(l.MaxDeadline, Duration(defaultMaxDeadline))
	l.LeaseTTL = cmp.Or(l.LeaseTTL, Duration(defaultLeaseTTL))
	l.IdempotencyWindow = cmp.Or(l.IdempotencyWindow, Duration(defaultIdempotencyWindow))
	l.MaxIdempotencyKeys = cmp.Or(l.MaxIdempotencyKeys, defaultIdempotencyKeys)
	l.RetryRatio = cmp.Or(l.RetryRatio, defaultRetryRatio)
	d.Targets.TTFT = cmp.Or(d.Targets.TTFT, Duration(defaultTTFT))
	d.Targets.TBT = cmp.Or(d.Targets.TBT, Duration(defaultTBT))
	for i := range d.Pools {
		d.Pools[i].MaxQueue = cmp.Or(d.Pools[i].MaxQueue, defaultQueueLength)
	}
}
