package config

import "time"

// Defaults of the limits that a document leaves out.
const (
	defaultBodyBytes       = 1 << 20
	defaultPromptTokens    = 32768
	defaultOutputTokens    = 512
	defaultDeadline        = 60 * time.Second
	defaultMaxDeadline     = 10 * time.Minute
	defaultLeaseTTL        = 3 * time.Second
	defaultIdempotency     = 10 * time.Minute
	defaultIdempotencyKeys = 100_000
	defaultRetryRatio      = 0.1
	defaultTTFT            = time.Second
	defaultTBT             = 71 * time.Millisecond
	defaultQueue           = 64
)

func (d *Document) setDefaults() {
	l := &d.Limits
	orDefault(&l.BodyBytes, defaultBodyBytes)
	orDefault(&l.PromptTokens, defaultPromptTokens)
	orDefault(&l.OutputTokens, defaultOutputTokens)
	orDefault(&l.Deadline, Duration(defaultDeadline))
	orDefault(&l.MaxDeadline, Duration(defaultMaxDeadline))
	orDefault(&l.LeaseTTL, Duration(defaultLeaseTTL))
	orDefault(&l.IdempotencyWindow, Duration(defaultIdempotency))
	orDefault(&l.IdempotencyKeys, defaultIdempotencyKeys)
	orDefault(&l.RetryRatio, defaultRetryRatio)
	orDefault(&d.Targets.TTFT, Duration(defaultTTFT))
	orDefault(&d.Targets.TBT, Duration(defaultTBT))
	for i := range d.Pools {
		orDefault(&d.Pools[i].Queue, defaultQueue)
	}
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
