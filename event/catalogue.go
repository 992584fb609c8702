package event

import "go.uber.org/zap"

// Events of every process: 1xxx.
var (
	Started            = define(1001, zap.InfoLevel, "process started")
	Stopped            = define(1002, zap.InfoLevel, "process stopped")
	DrainBegan         = define(1003, zap.InfoLevel, "drain began: no new work is taken")
	DrainEnded         = define(1004, zap.InfoLevel, "drain ended: nothing is in progress")
	Paused             = define(1005, zap.WarnLevel, "process was paused")
	Violation          = define(1006, zap.ErrorLevel, "invariant violated")
	DrainWaits         = define(1008, zap.InfoLevel, "drain waits for work in progress")
	MetricsUnavailable = define(1009, zap.WarnLevel, "metrics are not served")
	PlainTextOpen      = define(1007, zap.WarnLevel, "listening without TLS on an address other than loopback")
)

// Events of the configuration: 2xxx.
var (
	ConfigAccepted    = define(2001, zap.InfoLevel, "configuration accepted")
	ConfigInvalid     = define(2002, zap.ErrorLevel, "configuration refused: it has findings")
	ConfigConflict    = define(2003, zap.ErrorLevel, "two configurations have the same generation")
	ConfigUnreachable = define(2004, zap.WarnLevel, "configuration service does not answer")
	ConfigReachable   = define(2005, zap.InfoLevel, "configuration service answers again")
	SeedHasNoConfig   = define(2007, zap.InfoLevel, "a seed has no configuration to give")
	VMListUnreachable = define(2006, zap.WarnLevel, "VM list does not answer")
)

// Events of connections between processes: 3xxx.
var (
	LinkUp       = define(3001, zap.InfoLevel, "connection to an agent stands")
	LinkLost     = define(3002, zap.WarnLevel, "connection to an agent ended")
	LinkSilent   = define(3003, zap.WarnLevel, "connection to an agent is silent and is replaced")
	PeerRefused  = define(3004, zap.ErrorLevel, "peer refused: it breaks the protocol")
	AcceptFailed = define(3006, zap.ErrorLevel, "connection of a peer can't be accepted")
	PeerDraining = define(3005, zap.InfoLevel, "an endpoint is leaving")
)

// Events of the entry: 4xxx.
var (
	RequestRefused     = define(4001, zap.DebugLevel, "request refused")
	AnswerAborted      = define(4003, zap.WarnLevel, "answer broken off: it could not be completed")
	OutcomeUnknown     = define(4004, zap.WarnLevel, "outcome of a call is unknown")
	CallerDisconnected = define(4005, zap.DebugLevel, "caller went away")
)

// Events of the agent: 5xxx.
var (
	LeaseExpired    = define(5001, zap.WarnLevel, "lease expired: its holder is not heard")
	EndpointDown    = define(5002, zap.ErrorLevel, "endpoint does not answer")
	EndpointUp      = define(5003, zap.InfoLevel, "endpoint answers")
	StreamReplaced  = define(5004, zap.WarnLevel, "stream from the engine was silent and is replaced")
	TransferCut     = define(5005, zap.WarnLevel, "KV transfer cut")
	OrderSent       = define(5006, zap.InfoLevel, "order given to the engine")
	OrderRefused    = define(5007, zap.WarnLevel, "order refused by the engine")
	EndpointRemoved = define(5008, zap.InfoLevel, "configuration does not declare this endpoint any more")
	OrphanFreed     = define(5010, zap.WarnLevel, "request of a former agent freed in the engine")
	AttemptLost     = define(5009, zap.WarnLevel, "work lost at the endpoint")
)

// Events of the router: 6xxx.
var (
	AttemptEnded            = define(6001, zap.InfoLevel, "attempt ended")
	RequestAnswered         = define(6002, zap.InfoLevel, "request answered")
	RequestFailed           = define(6003, zap.WarnLevel, "request given up")
	GenerationPlaced        = define(6004, zap.InfoLevel, "generation placed")
	ResultWasted            = define(6005, zap.WarnLevel, "prefill result wasted")
	EntryAlive              = define(6007, zap.InfoLevel, "another entry is heard")
	EntryLost               = define(6008, zap.WarnLevel, "another entry is not heard any more")
	PublishedEntriesFetched = define(6009, zap.InfoLevel, "published entries learned from another entry")
	CacheStateUnknown       = define(6010, zap.InfoLevel, "engine does not say what it caches")
	OrderedToDecode         = define(6011, zap.InfoLevel, "prefill engine ordered to decode")
	OrderFailed             = define(6012, zap.WarnLevel, "order not accepted by the engine")
	GenerationRetried       = define(6013, zap.WarnLevel, "generation is tried again")
	ReservationRefused      = define(6014, zap.InfoLevel, "reservation refused by the engine")
	PrefillDone             = define(6015, zap.InfoLevel, "prompt computed")
	OrderedToPrefill        = define(6016, zap.InfoLevel, "decode engine ordered to prefill")
	FetchFailed             = define(6017, zap.WarnLevel, "published value from another entry is wrong")
	ReportEncodeFailed      = define(6018, zap.ErrorLevel, "report to other entries can't be encoded")
	EndpointCrashed         = define(6019, zap.WarnLevel, "endpoint crashed in the middle of an attempt")
	PoisonFound             = define(6020, zap.ErrorLevel, "a request crashes the endpoints that run it and is turned away")
	EndpointDraining        = define(6021, zap.InfoLevel, "endpoint says that it leaves")
	KeyRefused              = define(6022, zap.InfoLevel, "a caller without a published key is turned away")
	EndpointLimited         = define(6023, zap.InfoLevel, "endpoint names another limit, or none any more")
	// PeerTraffic is emitted once a minute.
	PeerTraffic      = define(6024, zap.InfoLevel, "sent to other entries in the last minute")
	DirectoryChanged = define(6006, zap.InfoLevel, "published directory changed")
)

// Events of the platform adapter: 7xxx.
var (
	StoreUnreachable = define(7001, zap.WarnLevel, "store does not answer")
	StoreReachable   = define(7002, zap.InfoLevel, "store answers again")
	EntryUnreadable  = define(7003, zap.ErrorLevel, "published entry is not readable")
	SettingsReloaded = define(7004, zap.InfoLevel, "settings reloaded")
	DeadlineUnset    = define(7007, zap.ErrorLevel, "a client's connection has no deadline")
	ReleaseLost      = define(7006, zap.InfoLevel, "release of engine memory lost")
	StoreRestored    = define(7008, zap.WarnLevel, "store came back from a copy")
	RelistRequired   = define(7009, zap.InfoLevel, "store does not have the changes asked for")
	SettingsRefused  = define(7005, zap.ErrorLevel, "changed settings refused")
)
