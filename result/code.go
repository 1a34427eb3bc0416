// Package result holds the numbered result codes that callers and operators
// see, and the error type that carries a code. Package problem writes it as an
// HTTP response.
package result

// Code is the number of a result. Numbers are never reused.
type Code int

// The result codes. docs/RESULT-CODES.md explains each.
const (
	BadRequest          Code = 1001
	UnknownService      Code = 1002
	BodyTooLarge        Code = 1003
	KeyRequired         Code = 1004
	KeyReused           Code = 1005
	UnknownCall         Code = 1006
	NoRoute             Code = 1007
	UnknownKey          Code = 1008
	BodySlow            Code = 1009
	Overloaded          Code = 2001
	NotReady            Code = 2002
	Draining            Code = 2003
	NoUpstream          Code = 2004
	CallerStreams       Code = 2005
	Expired             Code = 2006
	QuotaExceeded       Code = 2007
	ConfigNotConfirmed  Code = 2008
	Saturated           Code = 2009
	UpstreamFailed      Code = 3001
	UpstreamUnknown     Code = 3002
	Quarantined         Code = 3003
	UpstreamRefused     Code = 3004
	TimedOut            Code = 3005
	Suspected           Code = 3006
	OriginUnknown       Code = 3007
	ClaimNoQuorum       Code = 4001
	ClaimPending        Code = 4002
	ClaimUnknown        Code = 4003
	ClaimFull           Code = 4005
	ClaimAnswered       Code = 4006
	DocumentInvalid     Code = 5001
	RevisionConflict    Code = 5002
	ChangeReused        Code = 5003
	NoQuorum            Code = 5004
	DocumentNotFound    Code = 5005
	AlreadyBootstrapped Code = 5006
	ConfigInvalid       Code = 5007
	ConfigConflict      Code = 5008
	AnnouncementInvalid Code = 5009
	RolloutInvalid      Code = 5010
	RolloutRefused      Code = 5011
	RolloutConflict     Code = 5012
	RolloutNotFound     Code = 5013
	RolloutsNotReady    Code = 5014
	SettingsInvalid     Code = 6001
	JournalDamaged      Code = 7001
	JournalSyncFailed   Code = 7002
	JournalFull         Code = 7003
	LevelNotRead        Code = 7004
	Internal            Code = 9001
)

// Info describes one code.
type Info struct {
	// Name is the code's camel case name.
	Name string
	// Status is the HTTP status that goes with the code.
	Status int
	// Retryable is set if the same request may succeed later.
	Retryable bool
}

var infos = map[Code]Info{
	BadRequest:          {"badRequest", 400, false},
	UnknownService:      {"unknownService", 404, false},
	BodyTooLarge:        {"bodyTooLarge", 413, false},
	KeyRequired:         {"keyRequired", 400, false},
	KeyReused:           {"keyReused", 422, false},
	UnknownCall:         {"unknownCall", 404, false},
	NoRoute:             {"noRoute", 404, false},
	UnknownKey:          {"unknownKey", 401, false},
	BodySlow:            {"bodySlow", 408, true},
	Overloaded:          {"overloaded", 429, true},
	NotReady:            {"notReady", 503, true},
	Draining:            {"draining", 503, true},
	NoUpstream:          {"noUpstream", 503, true},
	CallerStreams:       {"callerStreams", 429, true},
	Expired:             {"expired", 504, true},
	QuotaExceeded:       {"quotaExceeded", 429, true},
	ConfigNotConfirmed:  {"configNotConfirmed", 503, true},
	Saturated:           {"saturated", 503, true},
	UpstreamFailed:      {"upstreamFailed", 502, true},
	UpstreamUnknown:     {"upstreamUnknown", 502, false},
	Quarantined:         {"quarantined", 422, false},
	UpstreamRefused:     {"upstreamRefused", 503, true},
	TimedOut:            {"timedOut", 504, false},
	Suspected:           {"suspected", 503, true},
	OriginUnknown:       {"originUnknown", 503, true},
	ClaimNoQuorum:       {"claimNoQuorum", 503, true},
	ClaimPending:        {"claimPending", 409, true},
	ClaimUnknown:        {"claimUnknown", 409, false},
	ClaimFull:           {"claimFull", 503, true},
	ClaimAnswered:       {"claimAnswered", 409, false},
	DocumentInvalid:     {"documentInvalid", 400, false},
	RevisionConflict:    {"revisionConflict", 412, false},
	ChangeReused:        {"changeReused", 422, false},
	NoQuorum:            {"noQuorum", 503, true},
	DocumentNotFound:    {"documentNotFound", 404, false},
	AlreadyBootstrapped: {"alreadyBootstrapped", 409, false},
	ConfigInvalid:       {"configInvalid", 400, false},
	ConfigConflict:      {"configConflict", 409, false},
	AnnouncementInvalid: {"announcementInvalid", 400, false},
	RolloutInvalid:      {"rolloutInvalid", 400, false},
	RolloutRefused:      {"rolloutRefused", 422, false},
	RolloutConflict:     {"rolloutConflict", 409, false},
	RolloutNotFound:     {"rolloutNotFound", 404, false},
	RolloutsNotReady:    {"rolloutsNotReady", 503, true},
	SettingsInvalid:     {"settingsInvalid", 400, false},
	JournalDamaged:      {"journalDamaged", 500, false},
	JournalSyncFailed:   {"journalSyncFailed", 500, false},
	JournalFull:         {"journalFull", 507, false},
	LevelNotRead:        {"levelNotRead", 500, false},
	Internal:            {"internal", 500, false},
}

// Info returns the description of c; for an unlisted code, that of Internal.
func (c Code) Info() Info {
	if info, ok := infos[c]; ok {
		return info
	}
	return infos[Internal]
}

// String returns the code's name.
func (c Code) String() string { return c.Info().Name }

// All returns every listed code with its description.
func All() map[Code]Info {
	all := make(map[Code]Info, len(infos))
	for c, i := range infos {
		all[c] = i
	}
	return all
}
