package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"ebonypulley"
	"ebonypulley/jsonc"
)

// Parse decodes and validates a document. With Error findings the document must
// not be used; it is nil if the text could not be decoded.
func Parse(file string, text []byte) (*Document, jsonc.Findings) {
	doc := new(Document)
	src, findings := jsonc.Decode(file, text, doc)
	if findings.Errors() > 0 {
		return nil, findings
	}
	doc.setDefaults()
	c := checker{src: src, doc: doc}
	c.run()
	c.findings.Sort()
	return doc, c.findings
}

// checker validates a decoded document.
type checker struct {
	src      *jsonc.Source
	doc      *Document
	findings jsonc.Findings
}

func (c *checker) report(path, format string, args ...any) {
	c.findings = append(c.findings, c.src.Finding(path, format, args...))
}

func (c *checker) run() {
	if c.doc.Generation == 0 {
		c.report("/generation", "generation must be at least 1")
	}
	c.limits()
	c.dataCentres()
	c.links()
	c.tiers()
	c.workspaces()
	c.services()
	c.pools()
	c.entries()
	c.endpoints()
	c.routes()
}

// uniqueNames reports empty and duplicate names in a list.
func (c *checker) uniqueNames(list string, n int, name func(int) string) {
	first := make(map[string]int, n)
	for i := range n {
		path := fmt.Sprintf("/%s/%d/name", list, i)
		s := name(i)
		if s == "" {
			c.report(path, "%s: a name is missing", list)
			continue
		}
		if at, dup := first[s]; dup {
			pos := c.src.Position(fmt.Sprintf("/%s/%d/name", list, at))
			c.report(path, "%s: name %q is already used at line %d", list, s, pos.Line)
			continue
		}
		first[s] = i
	}
}

// reference reports a reference to a name that is not declared.
func (c *checker) reference(path, kind, name string, declared bool) {
	if !declared {
		c.report(path, "%s %q is not declared", kind, name)
	}
}

func (c *checker) limits() {
	l := c.doc.Limits
	if l.MaxBodyBytes < 0 {
		c.report("/limits/body_bytes", "body_bytes must not be negative")
	}
	if l.MaxPromptTokens < 0 {
		c.report("/limits/prompt_tokens", "prompt_tokens must not be negative")
	}
	if l.DefaultDeadline > l.MaxDeadline {
		c.report("/limits/deadline", "deadline is above max_deadline (%s)", l.MaxDeadline.D())
	}
	if l.LeaseTTL.D() < minLeaseTTL {
		c.report("/limits/lease_ttl", "lease_ttl must be at least %s, three heartbeats", minLeaseTTL)
	}
	if l.RetryRatio < 0 || l.RetryRatio > 1 {
		c.report("/limits/retry_ratio", "retry_ratio must be between 0 and 1")
	}
	if l.IdempotencyWindow < 0 {
		c.report("/limits/idempotency_window", "idempotency_window must not be negative")
	}
}

func (c *checker) dataCentres() {
	if len(c.doc.DataCentres) == 0 {
		c.report("/data_centres", "at least one data centre is required")
	}
	c.uniqueNames("data_centres", len(c.doc.DataCentres), func(i int) string { return c.doc.DataCentres[i].Name })
}

func (c *checker) hasDataCentre(name string) bool {
	return find(c.doc.DataCentres, func(d DataCentre) bool { return d.Name == name }) != nil
}

func (c *checker) links() {
	for i, l := range c.doc.Links {
		path := fmt.Sprintf("/links/%d", i)
		c.reference(path+"/from", "data centre", l.From, c.hasDataCentre(l.From))
		c.reference(path+"/to", "data centre", l.To, c.hasDataCentre(l.To))
		if l.MBytesPerSecond <= 0 {
			c.report(path+"/mbytes_per_second", "mbytes_per_second must be above 0")
		}
	}
}

func (c *checker) tiers() {
	c.uniqueNames("tiers", len(c.doc.Tiers), func(i int) string { return c.doc.Tiers[i].Name })
	for i, t := range c.doc.Tiers {
		if t.MaxWait < 0 {
			c.report(fmt.Sprintf("/tiers/%d/max_wait", i), "max_wait must not be negative")
		}
	}
}

func (c *checker) workspaces() {
	tiers := make(map[string]bool)
	for _, t := range c.doc.Tiers {
		tiers[t.Name] = true
	}
	keys := make(map[string]string)
	c.uniqueNames("workspaces", len(c.doc.Workspaces), func(i int) string { return c.doc.Workspaces[i].Name })
	for i, w := range c.doc.Workspaces {
		path := fmt.Sprintf("/workspaces/%d", i)
		c.reference(path+"/tier", "tier", w.Tier, tiers[w.Tier])
		if w.RequestsPerSecond < 0 || w.TokensPerSecond < 0 || w.MaxConcurrent < 0 {
			c.report(path, "limits of workspace %q must not be negative", w.Name)
		}
		for k, hash := range w.KeySHA256 {
			c.keyHash(fmt.Sprintf("%s/key_sha256/%d", path, k), w.Name, hash, keys)
		}
	}
}

func (c *checker) keyHash(path, workspace, hash string, keys map[string]string) {
	if _, err := ParseKeyHash(hash); err != nil {
		c.report(path, "a key hash must be 64 hexadecimal digits")
		return
	}
	if other, dup := keys[hash]; dup {
		c.report(path, "the key is already declared for workspace %q", other)
		return
	}
	keys[hash] = workspace
}

func (c *checker) services() {
	c.uniqueNames("services", len(c.doc.Services), func(i int) string { return c.doc.Services[i].Name })
	models := make(map[string]bool)
	for i, s := range c.doc.Services {
		path := fmt.Sprintf("/services/%d", i)
		switch s.Kind {
		case ModelService:
			if s.Model == "" || models[s.Model] {
				c.report(path+"/model", "model service %q requires a model name that no other service has", s.Name)
			}
			models[s.Model] = true
		case PlainService:
			if s.Model != "" {
				c.report(path+"/model", "a plain service must not have a model")
			}
		default:
			c.report(path+"/kind", "unknown kind %q; want %q or %q", s.Kind, ModelService, PlainService)
		}
	}
}

func (c *checker) pools() {
	c.uniqueNames("pools", len(c.doc.Pools), func(i int) string { return c.doc.Pools[i].Name })
	for i, p := range c.doc.Pools {
		path := fmt.Sprintf("/pools/%d", i)
		svc := c.doc.Service(p.Service)
		c.reference(path+"/service", "service", p.Service, svc != nil)
		c.poolRole(path, p, svc)
		c.poolLimits(path, p)
		c.policy(path+"/policy", p.Policy)
	}
}

func (c *checker) poolRole(path string, p Pool, svc *Service) {
	switch p.Role {
	case Prefill, Decode, Plain:
	default:
		c.report(path+"/role", "unknown role %q; want prefill, decode or plain", p.Role)
		return
	}
	if svc == nil {
		return
	}
	if (p.Role == Plain) != (svc.Kind == PlainService) {
		c.report(path+"/role", "role %s does not fit %s service %q", p.Role, svc.Kind, svc.Name)
	}
}

func (c *checker) poolLimits(path string, p Pool) {
	if p.MaxRequests <= 0 {
		c.report(path+"/requests", "requests must be at least 1")
	}
	if p.Headroom < 0 || (p.MaxRequests > 0 && p.Headroom >= p.MaxRequests) {
		c.report(path+"/headroom", "headroom must be between 0 and requests-1; otherwise spare tiers could never run")
	}
	l := c.doc.Limits
	if p.Role == Decode && p.KVCapacity < l.MaxPromptTokens+l.MaxOutputTokens {
		c.report(path+"/tokens", "a request of %d tokens (prompt_tokens + output_tokens) would never fit in %d", l.MaxPromptTokens+l.MaxOutputTokens, p.KVCapacity)
	}
}

func (c *checker) policy(path string, p Policy) {
	for i, id := range p.Filters {
		c.plugin(fmt.Sprintf("%s/filters/%d", path, i), "filter", id)
	}
	for i, s := range p.Scorers {
		c.plugin(fmt.Sprintf("%s/scorers/%d/id", path, i), "scorer", s.ID)
	}
	if p.Picker != "" {
		c.plugin(path+"/picker", "picker", p.Picker)
	}
}

func (c *checker) plugin(path, kind, id string) {
	if ebonypulley.PluginID(id).Kind() != kind {
		c.report(path, "%q is not a %s plug-in", id, kind)
		return
	}
	if _, err := ebonypulley.NewPlugin(ebonypulley.PluginID(id)); err != nil {
		c.report(path, "%v", err)
	}
}

func (c *checker) entries() {
	c.uniqueNames("entries", len(c.doc.Entries), func(i int) string { return c.doc.Entries[i].Name })
	for i, e := range c.doc.Entries {
		path := fmt.Sprintf("/entries/%d", i)
		c.reference(path+"/data_centre", "data centre", e.DataCentre, c.hasDataCentre(e.DataCentre))
		c.address(path+"/http", e.HTTP)
	}
}

func (c *checker) endpoints() {
	c.uniqueNames("endpoints", len(c.doc.Endpoints), func(i int) string { return c.doc.Endpoints[i].Name })
	agents := make(map[string]string)
	for i, e := range c.doc.Endpoints {
		path := fmt.Sprintf("/endpoints/%d", i)
		c.reference(path+"/data_centre", "data centre", e.DataCentre, c.hasDataCentre(e.DataCentre))
		c.reference(path+"/pool", "pool", e.Pool, c.doc.Pool(e.Pool) != nil)
		c.address(path+"/agent", e.Agent)
		if other, dup := agents[e.Agent]; dup {
			c.report(path+"/agent", "agent address %s is already used by endpoint %q", e.Agent, other)
		}
		agents[e.Agent] = e.Name
		if u, err := url.Parse(e.URL); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
			c.report(path+"/url", "url must be an http or https URL, not %q", e.URL)
		}
	}
}

func (c *checker) address(path, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		c.report(path, "the address must be IP:port, not %q", addr)
	}
}

func (c *checker) routes() {
	c.uniqueNames("routes", len(c.doc.Routes), func(i int) string { return c.doc.Routes[i].Name })
	for i, r := range c.doc.Routes {
		path := fmt.Sprintf("/routes/%d", i)
		svc := c.doc.Service(r.Service)
		c.reference(path+"/service", "service", r.Service, svc != nil)
		if svc != nil && svc.Kind != PlainService {
			c.report(path+"/service", "the service of a route must be a plain service; %q is a %s service", svc.Name, svc.Kind)
		}
		if strings.Contains(r.Name, "/") {
			c.report(path+"/name", "the name of a route must be a single path segment")
		}
		c.calls(path, r.Calls)
	}
}

// calls checks the declared calls of a route. It also reports one that can never match,
// because an earlier one covers it.
func (c *checker) calls(path string, calls []Call) {
	for i, call := range calls {
		p := fmt.Sprintf("%s/calls/%d", path, i)
		if !strings.HasPrefix(call.Path, "/") {
			c.report(p+"/path", "path must begin with /, not %q", call.Path)
		}
		if call.Method == "" || call.Method != strings.ToUpper(call.Method) {
			c.report(p+"/method", "method must be an upper-case HTTP method, not %q", call.Method)
		}
		for j, earlier := range calls[:i] {
			if earlier.covers(call) {
				pos := c.src.Position(fmt.Sprintf("%s/calls/%d", path, j))
				c.report(p, "%s %s is covered by the call at line %d and would never match", call.Method, call.Path, pos.Line)
			}
		}
	}
}
