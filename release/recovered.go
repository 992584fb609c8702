package release

import (
	"maps"
	"time"

	"ebonypulley/rendezvous"
)

const (
	// promptRetention is how long it is remembered which engines had cached a prompt: longer
	// than callers resume a stream.
	promptRetention = time.Minute
	// maxPrompts bounds the prompts that are remembered.
	maxPrompts = 1 << 14
	// maxToldPrompts bounds those that this entry tells, so that they leave room for exceptions,
	// and maxRelayedPrompts those of all entries that are told to one that has started.
	maxToldPrompts    = 1 << 10
	maxRelayedPrompts = 1 << 9
	// promptRelayTime is how long after it was found out it is told to those.
	promptRelayTime = 20 * time.Second
)

// prompt is a prompt that engines had in their cache. version is empty if they have several.
type prompt struct {
	version string
	at      time.Time
}

// EngineState is what one engine runs and has cached.
type EngineState struct {
	Service string
	Version string
	// Requests are the IDs of the requests that it runs, Sessions those of the prompts that it
	// has cached; see router.Call.
	Requests, Sessions []string
}

// Knows reports whether all endpoints of a service are known that were published after a time.
func (t *Tracker) Knows(after time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.services[name].knows(after)
}

// Recover records what an engine runs and has cached, and tells it to other entries. Engines keep
// both when all entries are restarted, and nothing else tells then at which version streams began.
func (t *Tracker) Recover(now time.Time, e EngineState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, id := range e.Requests {
		key := rendezvous.Hash(id)
		if before := t.streams[key]; before != nil {
			before.recover(e.Version)
			continue
		}
		x := &stream{service: e.Service, version: e.Version, begun: now, after: now, recovered: true}
		t.streams[key] = x
		t.tell(now, key, x)
	}
	for _, id := range e.Sessions {
		u := Update{Request: promptKey(e.Service, id), Version: e.Version, Prompt: true}
		t.addPrompt(now, u)
		if t.toldPrompts < maxToldPrompts {
			t.toldPrompts++
			t.tellUpdate(now, u)
		}
	}
}

// recover records that an engine of a version ran the stream, too.
func (x *stream) recover(version string) {
	if x.recovered && x.version != version {
		x.version = ""
	}
}

// promptKey returns the key of a prompt.
func promptKey(service, session string) uint64 {
	return rendezvous.Hash(service + "\x00" + session)
}

// addPrompt records that engines of a version had cached a prompt. The caller holds t.mu.
func (t *Tracker) addPrompt(now time.Time, u Update) {
	if p := t.prompts[u.Request]; p != nil {
		if p.version != u.Version {
			p.version = ""
		}
		return
	}
	if len(t.prompts) < maxPrompts {
		t.prompts[u.Request] = &prompt{version: u.Version, at: now}
	}
}

// promptVersion returns the version of the engines that had cached the prompt of a stream that
// began after a time. The caller holds t.mu.
func (t *Tracker) promptVersion(after time.Time, name, session string) (version string, ok bool) {
	p := t.prompts[promptKey(name, session)]
	if session == "" || p == nil || after.After(p.at) {
		return "", false
	}
	return p.version, p.version != ""
}

// cachedPrompts returns what was found out lately, at most maxRelayedPrompts. The caller holds t.mu.
func (t *Tracker) cachedPrompts(now time.Time) (list []Update) {
	for key, p := range t.prompts {
		if len(list) == maxRelayedPrompts {
			break
		}
		if now.Sub(p.at) > promptRelayTime {
			continue
		}
		list = append(list, Update{Request: key, Version: p.version, Prompt: true})
	}
	return list
}

// forgetPrompts forgets old prompts. The caller holds t.mu.
func (t *Tracker) forgetPrompts(now time.Time) {
	maps.DeleteFunc(t.prompts, func(_ uint64, p *prompt) bool { return now.Sub(p.at) > promptRetention })
}
