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
	DrainWaits         = define(1008, zap.InfoLevel, "drain is waiting for work in progress")
	MetricsUnavailable = define(1009, zap.WarnLevel, "metrics are not served")
	DrainCuts          = define(1011, zap.WarnLevel, "drain ends: requests in progress are cut")
	StillRunning       = defineLong(1010, zap.ErrorLevel, "process has not ended within the bound of its drain")
	PlainTextOpen      = define(1007, zap.WarnLevel, "listening without TLS on an address other than loopback")
)

// Events of the configuration: 2xxx.
var (
	ConfigAccepted    = define(2001, zap.InfoLevel, "configuration accepted")
	ConfigInvalid     = define(2002, zap.ErrorLevel, "configuration refused: it has errors")
	ConfigConflict    = define(2003, zap.ErrorLevel, "two configurations have the same generation")
	ConfigUnreachable = define(2004, zap.WarnLevel, "configuration service does not answer")
	ConfigReachable   = define(2005, zap.InfoLevel, "configuration service answers again")
	SeedHasNoConfig   = define(2007, zap.InfoLevel, "seed has no configuration")
	VMListUnreachable = define(2006, zap.WarnLevel, "VM list does not answer")
)

// Events of connections between processes: 3xxx.
var (
	LinkUp       = define(3001, zap.InfoLevel, "connection to an agent established")
	LinkLost     = define(3002, zap.WarnLevel, "connection to an agent ended")
	LinkSilent   = define(3003, zap.WarnLevel, "connection to an agent is silent and is replaced")
	PeerRefused  = define(3004, zap.ErrorLevel, "peer refused: protocol violation")
	AcceptFailed = define(3006, zap.ErrorLevel, "connection of a peer can't be accepted")
	PeerDraining = define(3005, zap.InfoLevel, "an endpoint is draining")
)

// Events of the entry: 4xxx.
var (
	RequestRefused     = define(4001, zap.DebugLevel, "request refused")
	AnswerAborted      = define(4003, zap.WarnLevel, "answer aborted: it could not be completed")
	OutcomeUnknown     = define(4004, zap.WarnLevel, "outcome of a call is unknown")
	CallerDisconnected = define(4005, zap.DebugLevel, "caller disconnected")
)

// Events of the agent: 5xxx.
var (
	LeaseExpired    = define(5001, zap.WarnLevel, "lease expired: no heartbeat from its holder")
	EndpointDown    = define(5002, zap.ErrorLevel, "endpoint does not answer")
	EndpointUp      = define(5003, zap.InfoLevel, "endpoint answers")
	StreamReplaced  = define(5004, zap.WarnLevel, "stream from the engine was silent and is replaced")
	TransferCut     = define(5005, zap.WarnLevel, "KV transfer cut")
	OrderSent       = define(5006, zap.InfoLevel, "order sent to the engine")
	OrderRefused    = define(5007, zap.WarnLevel, "order refused by the engine")
	EndpointRemoved = define(5008, zap.InfoLevel, "endpoint no longer declared in the configuration")
	OrphanFreed     = define(5010, zap.WarnLevel, "orphaned request of a previous agent freed in the engine")
	AttemptLost     = define(5009, zap.WarnLevel, "work lost at the endpoint")
)

// Events of the router: 6xxx.
var (
	AttemptEnded            = define(6001, zap.InfoLevel, "attempt ended")
	RequestAnswered         = define(6002, zap.InfoLevel, "request answered")
	RequestFailed           = define(6003, zap.WarnLevel, "request failed")
	GenerationPlaced        = define(6004, zap.InfoLevel, "generation placed")
	ResultWasted            = define(6005, zap.WarnLevel, "prefill result wasted")
	EntryAlive              = define(6007, zap.InfoLevel, "another entry is alive")
	EntryLost               = define(6008, zap.WarnLevel, "no more reports from another entry")
	PublishedEntriesFetched = define(6009, zap.InfoLevel, "published entries fetched from another entry")
	CacheStateUnknown       = define(6010, zap.InfoLevel, "engine does not report its cache contents")
	OrderedToDecode         = define(6011, zap.InfoLevel, "prefill engine ordered to decode")
	OrderFailed             = define(6012, zap.WarnLevel, "order not accepted by the engine")
	GenerationRetried       = define(6013, zap.WarnLevel, "generation is retried")
	ReservationRefused      = define(6014, zap.InfoLevel, "reservation refused by the engine")
	PrefillDone             = define(6015, zap.InfoLevel, "prefill completed")
	OrderedToPrefill        = define(6016, zap.InfoLevel, "decode engine ordered to prefill")
	FetchFailed             = define(6017, zap.WarnLevel, "published value from another entry is wrong")
	ReportEncodeFailed      = define(6018, zap.ErrorLevel, "report to other entries can't be encoded")
	EndpointCrashed         = define(6019, zap.WarnLevel, "endpoint crashed in the middle of an attempt")
	PoisonFound             = define(6020, zap.ErrorLevel, "request blocked: it crashes the endpoints that run it")
	EndpointDraining        = define(6021, zap.InfoLevel, "endpoint reports that it is draining")
	KeyRefused              = define(6022, zap.InfoLevel, "a caller without a published key is turned away")
	EndpointLimited         = define(6023, zap.InfoLevel, "endpoint advertises a different limit, or none")
	PartsFound              = define(6025, zap.ErrorLevel, "part of prompts blocked: it crashes the engines that begin to answer")
	// PeerTraffic is emitted once a minute.
	PeerTraffic      = define(6024, zap.InfoLevel, "sent to other entries in the last minute")
	PeerStalled      = define(6026, zap.WarnLevel, "connection to another entry closed: it stalls and memory is short")
	PeerFrameRefused = define(6027, zap.WarnLevel, "no memory for a message from or to another entry")
	VersionFound     = define(6028, zap.InfoLevel, "software version of a resumed stream looked up")
	// VersionsRecovered is logged for each round of a recovery.
	VersionsRecovered = define(6029, zap.InfoLevel, "software versions of earlier streams recovered from engines")
	QuotaRefused      = define(6030, zap.InfoLevel, "request refused at the limit of its workspace")
	ReturnBooked      = define(6031, zap.InfoLevel, "return of a refused caller booked")
	ReturnNotBooked   = define(6032, zap.InfoLevel, "no room for the return of a refused caller")
	Displaced         = define(6035, zap.InfoLevel, "generation refused: its turn would come too late")
	RoomLeft          = define(6036, zap.InfoLevel, "generation refused: it left room to others elsewhere")
	RoomShort         = define(6040, zap.InfoLevel, "room for plain calls became short, or suffices again")
	EndpointSlow      = define(6045, zap.InfoLevel, "endpoint says that it has been slow for some time, or no longer is")
	PaceNotFollowed   = define(6046, zap.InfoLevel, "durations don't follow what an endpoint says of its pace, or do again")
	DirectoryChanged  = define(6006, zap.InfoLevel, "published directory changed")
)

// Events of the platform adapter: 7xxx.
var (
	StoreUnreachable = define(7001, zap.WarnLevel, "store does not answer")
	StoreReachable   = define(7002, zap.InfoLevel, "store answers again")
	EntryUnreadable  = define(7003, zap.ErrorLevel, "published entry can't be parsed")
	SettingsReloaded = define(7004, zap.InfoLevel, "settings reloaded")
	DeadlineUnset    = define(7007, zap.ErrorLevel, "a client's connection has no deadline")
	ReleaseLost      = define(7006, zap.InfoLevel, "release of engine memory lost")
	StoreRestored    = define(7008, zap.WarnLevel, "store was restored from a backup")
	RelistRequired   = define(7009, zap.InfoLevel, "store no longer has the requested changes; relisting")
	// MemoryShareFull is emitted at most once in 10 s for each share.
	MemoryShareFull = define(7010, zap.WarnLevel, "a share of the memory is full")
	// EarlierRuns is emitted once, at the start.
	EarlierRuns     = define(7011, zap.InfoLevel, "what is assumed of earlier processes and of others")
	SettingsRefused = define(7005, zap.ErrorLevel, "changed settings refused")
)
