// Package settings is the documented configuration of one balancer process,
// read from a file of JSON with comments.
//
// It owns no state. Names and forms of the fields are what deployments write; they
// stay.
//
// # Usage
//
//	s, err := settings.Load("vm-1.jsonc")
//
// The error names file, line, column and field of every fault.
package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
	"github.com/lotuswing/lotuswing/coord/urgency"
	"github.com/lotuswing/lotuswing/internal/jsonc"
)

// Settings of one balancer. Every address is an IP number with a port.
type Settings struct {
	ID        string    `json:"id"`      // identity of the VM
	Zone      string    `json:"zone"`    // availability zone
	Tenants   []string  `json:"tenants"` // tenants that the balancer serves
	Listen    string    `json:"listen"`  // callers
	Admin     string    `json:"admin"`   // operators and the platform's balancer
	Link      string    `json:"link"`    // other balancers; with discovery platform it may be empty, and each balancer then follows the store
	Peers     []string  `json:"peers"`   // link addresses to start from; the VM list, or the store, gives more
	Store     Store     `json:"store"`
	TLS       LinkTLS   `json:"link_tls"`
	Stop      Stop      `json:"stop"`
	Limits    Limits    `json:"limits"`
	Discovery Discovery `json:"discovery"`
	Retries   Retries   `json:"retries"`
	Quotas    Quotas    `json:"quotas"`
	Overload  Overload  `json:"overload"`
	Detours   Detours   `json:"detours"`
	Cores     float64   `json:"cores"` // processor share of the VM; larger ones take duties first; default 1
	// Regions says in which region each availability zone lies; empty where nothing is bound
	// to regions.
	Regions  map[string]string `json:"regions"`
	LinkRate float64           `json:"link_mbps"` // of the VM's link, in Mbit/s; a balancer with a faster one hands more copies on; 0 where it is not known
	Memory   int               `json:"memory_mb"` // what the process may use, in MiB; 0 for no limit
	Trace    string            `json:"trace"`     // none or stderr; default none
	Metrics  string            `json:"metrics"`   // address of metrics alone; empty for none beside the admin address
	LogRate  int               `json:"log_rate"`  // lines a second about requests; default 200
	Log      string            `json:"log_level"` // trace, debug, info, warn or error; default info
}

// Discovery kinds.
const (
	// Peers: documents and a list of VMs in the product's own store, spread by
	// the balancers, with a home for each service.
	Peers = "peers"
	// Platform: configuration and endpoints come from the operators' platform,
	// and each balancer chooses on its own.
	Platform = "platform"
)

// Discovery says where configuration and endpoints come from.
type Discovery struct {
	Kind string `json:"kind"` // peers or platform; default peers
	URL  string `json:"url"`  // of the platform's store
	// ApplyWithin and DrainWithin are the platform's bounds: how long after the
	// store has taken it a configuration must be in force, and a leaving
	// endpoint must get no more requests. Default 2s.
	ApplyWithin time.Duration `json:"apply_within"`
	DrainWithin time.Duration `json:"drain_within"`
	// EvacuateWithin is the same for the endpoints of an availability zone that an
	// operator empties. Default 5s.
	EvacuateWithin time.Duration `json:"evacuate_within"`
}

// Within returns the shortest of the bounds: all changes come the same way.
func (d Discovery) Within() time.Duration {
	return min(d.ApplyWithin, d.DrainWithin, d.EvacuateWithin)
}

// Retries bounds the retries of the whole fleet, for each service in any
// window. Zero fields stand for the product's own bound of each process.
type Retries struct {
	Ratio  float64       `json:"ratio"`  // for each request
	Burst  float64       `json:"burst"`  // beyond the ratio
	Window time.Duration `json:"window"` // length
}

// Quotas says how exactly the quotas of teams have to be kept over the whole fleet.
type Quotas struct {
	// Slack is how many requests above its quota a team may have run in any window without
	// the operators minding.
	Slack float64 `json:"slack"`
}

// Overload says what is done while a service has too little room for its requests. It needs
// discovery platform.
type Overload struct {
	// Order is when requests are served by urgency: auto, on or off; default auto, which is on
	// while the configuration has a route of priority 0.
	Order urgency.Mode `json:"order"`
}

// Detours says what is done while a balancer has lost its paths to endpoints. It needs discovery
// platform and links.
type Detours struct {
	// Mode is auto, with which balancers open connections to endpoints for others that have lost
	// their paths, or off; default auto. A balancer that is off carries nothing either.
	Mode string `json:"mode"`
	// MaxCarried is how many connections a balancer carries for others at once; default 256.
	MaxCarried int `json:"max_carried"`
}

// Modes of detours.
const (
	DetoursAuto = "auto"
	DetoursOff  = "off"
)

// Store says where the platform's key-value service and list of VMs are.
type Store struct {
	URL     string        `json:"url"`
	VMs     string        `json:"vm_list_url"`
	Timeout time.Duration `json:"timeout"` // of one call; default 2s
	Rate    int           `json:"rate"`    // calls a second of this balancer; default 20
}

// LinkTLS says how links between balancers are secured.
type LinkTLS struct {
	Insecure bool   `json:"insecure"` // plain TCP; must be asked for, and is logged
	Cert     string `json:"cert"`     // PEM files, read again when they change
	Key      string `json:"key"`
	CA       string `json:"ca"`
}

// Stop says how a planned stop goes.
type Stop struct {
	Notice time.Duration `json:"notice"` // between not ready and closing the listener; default 2s
	Limit  time.Duration `json:"limit"`  // for requests in flight; default 1h
	// Grace is the time after which the process is killed, where that is so;
	// notice and limit are then shortened to fit.
	Grace time.Duration `json:"grace"`
}

// Times returns what the plan of a stop is made of.
func (s Stop) Times() drain.Times { return drain.Times(s) }

// Within returns the stop as its plan shortens it to its grace.
func (s Stop) Within() Stop {
	began := time.Unix(0, 0)
	plan := drain.NewPlan(began, s.Times())
	return Stop{Notice: plan.NoticeEnds().Sub(began), Limit: plan.EndsAt().Sub(plan.NoticeEnds()), Grace: s.Grace}
}

// Limits of what callers may send.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`   // default 64 KiB
	HeaderTimeout time.Duration `json:"header_timeout"` // default 10s
	BodyBytes     int64         `json:"body_bytes"`     // default 1 GiB
	ReplayBytes   int           `json:"replay_bytes"`   // body kept for a retry; default 64 KiB
	IdleTimeout   time.Duration `json:"idle_timeout"`   // of a caller's connection; default 2m
}

// Defaults of the settings that may be left out.
func defaults() Settings {
	return Settings{
		Store: Store{Timeout: 2 * time.Second, Rate: 20},
		Stop:  Stop{Notice: 2 * time.Second, Limit: time.Hour},
		Limits: Limits{
			HeaderBytes:   64 << 10,
			HeaderTimeout: 10 * time.Second,
			BodyBytes:     1 << 30,
			ReplayBytes:   64 << 10,
			IdleTimeout:   2 * time.Minute,
		},
		Discovery: Discovery{Kind: Peers, ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second, EvacuateWithin: 5 * time.Second},
		Overload:  Overload{Order: urgency.Auto},
		Detours:   Detours{Mode: DetoursAuto, MaxCarried: 256},
		Cores:     1,
		Trace:     "none",
		LogRate:   200,
		Log:       "info",
	}
}

// Load reads and checks a file.
func Load(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, raw)
}

// Parse checks settings that were read from a file with the given name.
func Parse(file string, raw []byte) (Settings, error) {
	s := defaults()
	dec := jsonc.Decode(file, raw, &s)
	if len(dec.Faults()) == 0 {
		check(dec, s)
	}
	return s, dec.Err()
}

// mostCarried bounds the connections that a balancer carries for others.
const mostCarried = 65536

// mostCores bounds the processor share of a VM.
const mostCores = 4096

func check(dec *jsonc.Decoder, s Settings) {
	dec.Check(s.ID != "", "id", "is missing; give the identity of the VM")
	dec.Check(s.Zone != "", "zone", "is missing; give the availability zone")
	checkAddr(dec, "listen", s.Listen)
	checkAddr(dec, "admin", s.Admin)
	switch s.Discovery.Kind {
	case Peers:
		checkPeers(dec, s)
	case Platform:
		checkURL(dec, "discovery.url", s.Discovery.URL)
		checkBetween(dec, "discovery.apply_within", s.Discovery.ApplyWithin, 100*time.Millisecond, time.Hour)
		checkBetween(dec, "discovery.drain_within", s.Discovery.DrainWithin, 100*time.Millisecond, time.Hour)
		checkBetween(dec, "discovery.evacuate_within", s.Discovery.EvacuateWithin, 100*time.Millisecond, time.Hour)
		if s.Link != "" {
			checkAddr(dec, "link", s.Link)
			checkTLS(dec, s.TLS)
		}
		checkPeerAddrs(dec, s.Peers)
	default:
		dec.Check(false, "discovery.kind", "is %q; peers or platform", s.Discovery.Kind)
	}
	checkRetries(dec, s.Retries)
	dec.Check(s.Quotas.Slack >= 0, "quotas.slack", "is %v; at least 0", s.Quotas.Slack)
	dec.Check(s.Overload.Order.Valid(), "overload.order", "is %q; auto, on or off", s.Overload.Order)
	dec.Check(s.Detours.Mode == DetoursAuto || s.Detours.Mode == DetoursOff, "detours.mode", "is %q; auto or off", s.Detours.Mode)
	dec.Check(s.Detours.MaxCarried >= 0 && s.Detours.MaxCarried <= mostCarried, "detours.max_carried", "is %d; from 0 to %d", s.Detours.MaxCarried, mostCarried)
	dec.Check(s.Cores > 0 && s.Cores <= mostCores, "cores", "is %v; above 0, at most %d", s.Cores, mostCores)
	dec.Check(s.LinkRate >= 0, "link_mbps", "is %v; at least 0", s.LinkRate)
	dec.Check(s.Memory >= 0, "memory_mb", "is %d; at least 0", s.Memory)
	checkBetween(dec, "stop.notice", s.Stop.Notice, 0, 10*time.Minute)
	dec.Check(s.Stop.Grace == 0 || s.Stop.Grace >= time.Second, "stop.grace", "is %v; at least 1s", s.Stop.Grace)
	checkBetween(dec, "stop.limit", s.Stop.Limit, time.Second, 7*24*time.Hour)
	checkBetween(dec, "limits.header_timeout", s.Limits.HeaderTimeout, time.Millisecond, time.Hour)
	checkBetween(dec, "limits.idle_timeout", s.Limits.IdleTimeout, time.Millisecond, 24*time.Hour)
	dec.Check(s.Limits.HeaderBytes >= 1024, "limits.header_bytes", "is %d; at least 1024", s.Limits.HeaderBytes)
	dec.Check(s.Limits.BodyBytes >= 1, "limits.body_bytes", "is %d; at least 1", s.Limits.BodyBytes)
	dec.Check(s.Limits.ReplayBytes >= 0, "limits.replay_bytes", "is %d; at least 0", s.Limits.ReplayBytes)
	if s.Metrics != "" {
		checkAddr(dec, "metrics", s.Metrics)
	}
	dec.Check(s.LogRate >= 1 && s.LogRate <= 100000, "log_rate", "is %d; from 1 to 100000", s.LogRate)
	dec.Check(s.Trace == "none" || s.Trace == "stderr", "trace", "is %q; none or stderr", s.Trace)
}

// checkPeers checks what only balancers need that talk to one another.
func checkPeers(dec *jsonc.Decoder, s Settings) {
	dec.Check(len(s.Tenants) > 0, "tenants", "is missing; name at least one tenant")
	checkAddr(dec, "link", s.Link)
	checkPeerAddrs(dec, s.Peers)
	checkURL(dec, "store.url", s.Store.URL)
	checkURL(dec, "store.vm_list_url", s.Store.VMs)
	checkBetween(dec, "store.timeout", s.Store.Timeout, time.Millisecond, time.Minute)
	dec.Check(s.Store.Rate >= 1 && s.Store.Rate <= 1000, "store.rate", "is %d; from 1 to 1000", s.Store.Rate)
	checkTLS(dec, s.TLS)
}

func checkPeerAddrs(dec *jsonc.Decoder, peers []string) {
	for i, p := range peers {
		checkAddr(dec, fmt.Sprintf("peers[%d]", i), p)
	}
}

func checkRetries(dec *jsonc.Decoder, r Retries) {
	if r == (Retries{}) {
		return
	}
	dec.Check(r.Ratio >= 0 && r.Ratio <= 1, "retries.ratio", "is %v; from 0 to 1", r.Ratio)
	dec.Check(r.Burst >= 0, "retries.burst", "is %v; at least 0", r.Burst)
	checkBetween(dec, "retries.window", r.Window, time.Second, time.Hour)
}

func checkTLS(dec *jsonc.Decoder, t LinkTLS) {
	files := t.Cert != "" && t.Key != "" && t.CA != ""
	none := t.Cert == "" && t.Key == "" && t.CA == ""
	dec.Check(t.Insecure && none || !t.Insecure && files, "link_tls",
		"needs cert, key and ca, or insecure: true and none of them")
}

func checkAddr(dec *jsonc.Decoder, field, addr string) {
	host, _, err := net.SplitHostPort(addr)
	if err == nil {
		_, err = netip.ParseAddr(host)
	}
	dec.Check(err == nil, field, "is %q; an IP number and port such as \"127.0.0.1:8080\" belongs here", addr)
}

func checkURL(dec *jsonc.Decoder, field, raw string) {
	u, err := url.Parse(raw)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	dec.Check(ok, field, "is %q; a URL such as \"http://127.0.0.1:7400\" belongs here", raw)
}

func checkBetween(dec *jsonc.Decoder, field string, d, low, high time.Duration) {
	dec.Check(d >= low && d <= high, field, "is %v; from %v to %v", d, low, high)
}
