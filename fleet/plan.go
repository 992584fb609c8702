// Package fleet lays out the processes of a deployment from its configuration
// document, with stand-ins in the platform's place: as settings files for
// separate processes, or in one process for the demo.
package fleet

import (
	"encoding/json"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"ebonypulley/agent"
	"ebonypulley/config"
	"ebonypulley/entry"
	"ebonypulley/jsonc"
	"ebonypulley/standin"
)

// Platform are the addresses of the platform's stand-ins.
type Platform struct {
	Config  string
	VMs     string
	Weights string
}

// Plan is every process of a deployment.
type Plan struct {
	Document *config.Document
	Text     []byte
	Platform Platform
	Standins []NamedStandin
	Agents   []agent.Settings
	Entries  []entry.Settings
}

// NamedStandin is a stand-in with a name for logs and files.
type NamedStandin struct {
	Name     string
	Settings standin.Settings
}

const (
	configPort  = 7001
	vmsPort     = 7002
	weightsPort = 7003
	// vmLag is how late the VM list's stand-in is.
	vmLag = 3 * time.Second
	// loadTime is how long the weight store's stand-in needs for a model.
	loadTime = 200 * time.Millisecond
	// debugOffset is the distance of a debug port from the served one.
	debugOffset = 1
)

// NewPlan lays out the processes of a document. The platform's stand-ins get
// addresses in the network of the first entry.
func NewPlan(doc *config.Document, text []byte) (*Plan, error) {
	if len(doc.Entries) == 0 {
		return nil, errorx.IllegalArgument.New("the document declares no entries")
	}
	host, err := platformHost(doc.Entries[0].HTTP)
	if err != nil {
		return nil, err
	}
	p := &Plan{Document: doc, Text: text, Platform: Platform{
		Config:  netip.AddrPortFrom(host, configPort).String(),
		VMs:     netip.AddrPortFrom(host, vmsPort).String(),
		Weights: netip.AddrPortFrom(host, weightsPort).String(),
	}}
	p.addPlatform()
	for _, e := range doc.Endpoints {
		if err := p.addEndpoint(e); err != nil {
			return nil, err
		}
	}
	for _, e := range doc.Entries {
		p.addEntry(e)
	}
	return p, nil
}

// platformHost returns x.y.0.1 of the network that addr is in.
func platformHost(addr string) (netip.Addr, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || !ap.Addr().Is4() {
		return netip.Addr{}, errorx.IllegalArgument.New("%q is not an IPv4 address and port", addr)
	}
	b := ap.Addr().As4()
	b[2], b[3] = 0, 1
	return netip.AddrFrom4(b), nil
}

func (p *Plan) addPlatform() {
	var names []string
	for _, e := range p.Document.Endpoints {
		names = append(names, e.Name)
	}
	p.Standins = append(p.Standins,
		NamedStandin{"config", standin.Settings{Kind: standin.KindConfig, Listen: p.Platform.Config}},
		NamedStandin{"vms", standin.Settings{Kind: standin.KindVMs, Listen: p.Platform.VMs, VMs: names, Lag: jsonc.Duration(vmLag)}},
		NamedStandin{"weights", standin.Settings{Kind: standin.KindWeights, Listen: p.Platform.Weights, LoadTime: jsonc.Duration(loadTime)}},
	)
}

func (p *Plan) addEndpoint(e config.Endpoint) error {
	u, err := url.Parse(e.URL)
	if err != nil {
		return errorx.IllegalArgument.Wrap(err, "endpoint %s", e.Name)
	}
	pool := p.Document.Pool(e.Pool)
	s := standin.Settings{Kind: standin.KindEngine, Listen: u.Host}
	if pool.Role == config.Plain {
		s.Kind = standin.KindPlain
	} else {
		s.Engine.ChecksFence = e.ChecksFence
		s.Engine.Requests = pool.Requests
		s.Engine.WeightStore = "http://" + p.Platform.Weights
	}
	p.Standins = append(p.Standins, NamedStandin{e.Name + "-engine", s})
	p.Agents = append(p.Agents, agent.Settings{
		Name:          e.Name,
		DataCentre:    e.DataCentre,
		Listen:        e.Agent,
		Debug:         debugAddress(e.Agent),
		ConfigService: "http://" + p.Platform.Config,
	})
	return nil
}

func (p *Plan) addEntry(e config.Entry) {
	p.Entries = append(p.Entries, entry.Settings{
		Name:          e.Name,
		DataCentre:    e.DataCentre,
		Listen:        e.HTTP,
		Debug:         debugAddress(e.HTTP),
		ConfigService: "http://" + p.Platform.Config,
		VMList:        "http://" + p.Platform.VMs,
		Seeds:         p.seeds(e.DataCentre),
	})
}

// seedCount is how many agents an entry can ask for the document.
const seedCount = 4

// seeds returns agents, those in the entry's data centre first.
func (p *Plan) seeds(dc string) []string {
	var near, far []string
	for _, e := range p.Document.Endpoints {
		if e.DataCentre == dc {
			near = append(near, e.Agent)
		} else {
			far = append(far, e.Agent)
		}
	}
	all := append(near[:min(len(near), seedCount/2)], far...)
	return all[:min(len(all), seedCount)]
}

func debugAddress(addr string) string {
	ap := netip.MustParseAddrPort(addr)
	return netip.AddrPortFrom(ap.Addr(), ap.Port()+debugOffset).String()
}

// Rebase moves all addresses of a document into another /16 network, such as
// "127.77", so that several fleets fit on one machine. It returns the
// document with its text.
func Rebase(doc *config.Document, network string) (*config.Document, []byte, error) {
	moved := *doc
	moved.Entries = append([]config.Entry(nil), doc.Entries...)
	moved.Endpoints = append([]config.Endpoint(nil), doc.Endpoints...)
	for i := range moved.Entries {
		moved.Entries[i].HTTP = rebase(moved.Entries[i].HTTP, network)
	}
	for i := range moved.Endpoints {
		e := &moved.Endpoints[i]
		e.Agent = rebase(e.Agent, network)
		if u, err := url.Parse(e.URL); err == nil {
			u.Host = rebase(u.Host, network)
			e.URL = u.String()
		}
	}
	return format(&moved)
}

func format(doc *config.Document) (*config.Document, []byte, error) {
	text, err := json.MarshalIndent(doc, "", " ")
	if err != nil {
		return nil, nil, errorx.IllegalArgument.Wrap(err, "format")
	}
	checked, findings := config.Parse("document", text)
	return checked, text, findings.Err()
}

func rebase(addr, network string) string {
	parts := strings.SplitN(addr, ".", 3)
	if len(parts) != 3 {
		return addr
	}
	return network + "." + parts[2]
}

// loopbackNetworks is how many /16 networks of the loopback range the demo
// tries; it begins above those of the examples.
const (
	firstNetwork = 30
	lastNetwork  = 250
)

func networkName(second int) string { return "127." + strconv.Itoa(second) }
