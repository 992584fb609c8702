package config

import (
	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/jsonc"
)

// LogVerdict logs the event for a verdict. Known and Stale are routine and are not
// logged.
func LogVerdict(log *event.Log, v Verdict, generation uint64, findings jsonc.Findings) {
	switch v {
	case Accepted:
		log.Emit(event.ConfigAccepted, zap.Uint64("generation", generation))
	case Conflict:
		log.Emit(event.ConfigConflict, zap.Uint64("generation", generation))
	case Invalid:
		if len(findings) > 0 {
			log.Emit(event.ConfigInvalid, zap.Uint64("generation", generation), zap.Stringer("findings", findings))
		}
	}
}
