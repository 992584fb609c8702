// Package fleet lays out the processes of a deployment from its configuration document, with
// stand-ins for the services of the platform. The layout is either written as settings files
// for separate processes or run in one process.
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

// PlatformAddrs holds the addresses of the stand-ins for the platform's services.
type PlatformAddrs struct {
	Config  string
	VMs     string
	Weights string
}

// Plan holds the settings of all processes of a deployment.
type Plan struct {
	Document *config.Document
	Text     []byte
	Platform PlatformAddrs
	Standins []Standin
	Agents   []agent.Settings
	Entries  []entry.Settings
}

// Standin is a stand-in with a name for logs and file names.
type Standin struct {
	Name     string
	Settings standin.Settings
}

const (
	configPort  = 7001
	vmsPort     = 7002
	weightsPort = 7003
	// vmListLag is the delay with which the VM list's stand-in shows changes.
	vmListLag = 3 * time.Second
	// modelLoadTime is the time in which the weight store's stand-in loads a model.
	modelLoadTime = 200 * time.Millisecond
	// debugPortOffset is added to the port that a process serves to get its debug port.
	debugPortOffset = 1
)

// NewPlan lays out the processes of a configuration document. The platform's stand-ins get
// addresses in the network of the first entry.
func NewPlan(doc *config.Document, text []byte) (*Plan, error) {
	if len(doc.Entries) == 0 {
		return nil, errorx.IllegalArgument.New("the document declares no entries")
	}
	host, err := platformHost(doc.Entries[0].HTTP)
	if err != nil {
		return nil, err
	}
	p := &Plan{Document: doc, Text: text, Platform: PlatformAddrs{
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

// platformHost returns the host x.y.0.1 in the /16 network of addr.
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
		Standin{"config", standin.Settings{Kind: standin.KindConfig, Listen: p.Platform.Config}},
		Standin{"vms", standin.Settings{Kind: standin.KindVMs, Listen: p.Platform.VMs, VMs: names, Lag: jsonc.Duration(vmListLag)}},
		Standin{"weights", standin.Settings{Kind: standin.KindWeights, Listen: p.Platform.Weights, LoadTime: jsonc.Duration(modelLoadTime)}},
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
		s.Engine.MaxRequests = pool.MaxRequests
		s.Engine.WeightStore = "http://" + p.Platform.Weights
	}
	p.Standins = append(p.Standins, Standin{e.Name + "-engine", s})
	p.Agents = append(p.Agents, agent.Settings{
		Name:          e.Name,
		DataCentre:    e.DataCentre,
		Listen:        e.Agent,
		Debug:         debugAddr(e.Agent),
		ConfigService: "http://" + p.Platform.Config,
	})
	return nil
}

func (p *Plan) addEntry(e config.Entry) {
	p.Entries = append(p.Entries, entry.Settings{
		Name:          e.Name,
		DataCentre:    e.DataCentre,
		Listen:        e.HTTP,
		Debug:         debugAddr(e.HTTP),
		ConfigService: "http://" + p.Platform.Config,
		VMList:        "http://" + p.Platform.VMs,
		Seeds:         p.seeds(e.DataCentre),
	})
}

// maxSeeds is the maximum number of agents that an entry can ask for the document at its start.
const maxSeeds = 4

// seeds returns the seed agents of an entry. The first ones, up to half of maxSeeds, are in its
// own data centre.
func (p *Plan) seeds(dc string) []string {
	var local, remote []string
	for _, e := range p.Document.Endpoints {
		if e.DataCentre == dc {
			local = append(local, e.Agent)
		} else {
			remote = append(remote, e.Agent)
		}
	}
	all := append(local[:min(len(local), maxSeeds/2)], remote...)
	return all[:min(len(all), maxSeeds)]
}

func debugAddr(addr string) string {
	ap := netip.MustParseAddrPort(addr)
	return netip.AddrPortFrom(ap.Addr(), ap.Port()+debugPortOffset).String()
}

// Rebase moves all addresses of a document into another /16 network, such as "127.77", so that
// several fleets fit on one machine. It returns the new document and its text.
func Rebase(doc *config.Document, network string) (*config.Document, []byte, error) {
	moved := *doc
	moved.Entries = append([]config.Entry(nil), doc.Entries...)
	moved.Endpoints = append([]config.Endpoint(nil), doc.Endpoints...)
	for i := range moved.Entries {
		moved.Entries[i].HTTP = rebaseAddr(moved.Entries[i].HTTP, network)
	}
	for i := range moved.Endpoints {
		e := &moved.Endpoints[i]
		e.Agent = rebaseAddr(e.Agent, network)
		if u, err := url.Parse(e.URL); err == nil {
			u.Host = rebaseAddr(u.Host, network)
			e.URL = u.String()
		}
	}
	return marshalDocument(&moved)
}

func marshalDocument(doc *config.Document) (*config.Document, []byte, error) {
	text, err := json.MarshalIndent(doc, "", " ")
	if err != nil {
		return nil, nil, errorx.IllegalArgument.Wrap(err, "format")
	}
	checked, findings := config.Parse("document", text)
	return checked, text, findings.Err()
}

func rebaseAddr(addr, network string) string {
	parts := strings.SplitN(addr, ".", 3)
	if len(parts) != 3 {
		return addr
	}
	return network + "." + parts[2]
}

// The /16 networks of the loopback range that freeNetwork tries, by the second byte of the
// address. They begin above those of the example documents.
const (
	firstLoopbackNetwork = 30
	lastLoopbackNetwork  = 250
)

func networkName(second int) string { return "127." + strconv.Itoa(second) }
