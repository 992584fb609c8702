package config

import (
	"go.uber.org/zap"

	"ebonypulley/event"
	"ebonypulley/jsonc"
)

// LogOfferResult logs the result of an offer. Unchanged and Stale are routine and are not
// logged, nor is an Invalid text that was refused before.
func LogOfferResult(log *event.Log, result OfferResult, generation uint64, findings jsonc.Findings) {
	switch result {
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
