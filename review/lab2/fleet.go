//go:build review

package lab2

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Fleet is a small deployment.
type Fleet struct {
	Store     *Store
	StoreAddr string
	Servers   []*Server
	Balancers []*Balancer
	Ledger    *Ledger
	Dir       string
}

// FleetConfig says how large a deployment is.
type FleetConfig struct {
	Store         StoreOptions
	Zones         []string
	PerZone       int // balancers
	Services      []string
	PerService    int // servers of each, in each zone
	Slots         int
	Work          time.Duration
	ApplyMs       int
	DrainMs       int
	QuotaSlack    int
	Config        []byte
	StoreOf       func(name, store string) string // the store's address for a balancer; nil for the store's own
	ServerAddr    func(s *Server) string          // the address in a server's entry; nil for the server's own
	BeforeStartup func(f *Fleet)
}

// StartFleet starts a deployment and waits until all balancers are ready.
func StartFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{Store: NewStore(cfg.Store), Ledger: &Ledger{}}
	var err error
	if f.Dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if f.StoreAddr, err = f.Store.Listen(); err != nil {
		return nil, err
	}
	f.Store.Put("op/config", cfg.Config)
	n := 0
	for z, zone := range cfg.Zones {
		for _, service := range cfg.Services {
			for range cfg.PerService {
				n++
				s, err := StartServer(fmt.Sprintf("i-%04x", 4096+n), service, zone, fmt.Sprintf("127.0.%d.%d", 10+z, 1+n%200), cfg.Slots, cfg.Work, f.Ledger)
				if err != nil {
					return nil, err
				}
				f.Servers = append(f.Servers, s)
				f.Store.Put("servers/"+s.ID, s.Entry("ready"))
			}
		}
	}
	if cfg.BeforeStartup != nil {
		cfg.BeforeStartup(f)
	}
	zones := map[string]string{}
	var controls []string
	for z, zone := range cfg.Zones {
		zones[zone] = "fes"
		for i := range cfg.PerZone {
			controls = append(controls, FreeAddr(fmt.Sprintf("127.0.%d.%d", 1+z, 1+i)))
		}
	}
	for z, zone := range cfg.Zones {
		for i := range cfg.PerZone {
			name, store := fmt.Sprintf("front-%s-%d", zone, i+1), f.StoreAddr
			if cfg.StoreOf != nil {
				store = cfg.StoreOf(name, store)
			}
			b, err := StartBalancer(BalancerConfig{
				Name: name, Zone: zone, Zones: zones, IP: fmt.Sprintf("127.0.%d.%d", 1+z, 1+i), Store: store, QuotaSlack: cfg.QuotaSlack,
				Seeds: controls[:min(3, len(controls))], Control: controls[z*cfg.PerZone+i], ApplyMs: cfg.ApplyMs, DrainMs: cfg.DrainMs, Dir: f.Dir,
			})
			if err != nil {
				return f, err
			}
			f.Balancers = append(f.Balancers, b)
		}
	}
	for _, b := range f.Balancers {
		if !b.AwaitReady(15 * time.Second) {
			return f, fmt.Errorf("%s is not ready; its log ends with %q", b.Name, b.Tail())
		}
	}
	return f, nil
}

// End ends all processes. With keep, the logs stay.
func (f *Fleet) End(keep bool) {
	for _, b := range f.Balancers {
		b.Kill()
	}
	if keep {
		fmt.Fprintln(os.Stderr, "logs:", f.Dir)
		return
	}
	_ = os.RemoveAll(f.Dir)
}

// Reply is what a client got.
type Reply struct {
	ID, Balancer, Target string
	Sent                 time.Time
	Took                 time.Duration
	Status               int
	Signature, Body      string
	Err                  error
}

var lastID atomic.Uint64

// NewID returns an id for a request.
func NewID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), lastID.Add(1)) }

// Send sends one request on a new connection, as one client attempt.
func Send(b *Balancer, method, host, target string, body string, deadline time.Duration, header map[string]string) Reply {
	reply := Reply{ID: NewID(), Balancer: b.Name, Target: target, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+b.Front+target, content)
	if err != nil {
		reply.Err = err
		return reply
	}
	r.Host = host
	r.Header.Set("Request-Id", reply.ID)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	t := &http.Transport{DisableCompression: true, DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	resp, err := t.RoundTrip(r)
	if err != nil {
		reply.Err, reply.Took = err, time.Since(reply.Sent)
		return reply
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	reply.Status, reply.Signature, reply.Body, reply.Err = resp.StatusCode, resp.Header.Get("Response-Signature"), string(raw), err
	reply.Took = time.Since(reply.Sent)
	return reply
}

// Record is the file in which a script notes what happened.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Note writes a line.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the record.
func (r *Record) Close() { _ = r.file.Close() }
