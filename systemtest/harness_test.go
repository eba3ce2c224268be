// Package systemtest runs the product as separate processes: the test binary
// starts itself again as lotuswing or lotusctl.
package systemtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/cli"
	"github.com/lotuswing/lotuswing/control"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/standin"
	"github.com/lotuswing/lotuswing/vm"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const binaryVariable = "LOTUSWING_TEST_BINARY"

func TestMain(m *testing.M) {
	switch os.Getenv(binaryVariable) {
	case "lotuswing":
		os.Exit(cli.Balancer(os.Args[1:], os.Stdout, os.Stderr))
	case "lotusctl":
		os.Exit(control.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a running binary of the product.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	mu   sync.Mutex
	log  bytes.Buffer
	done chan struct{}
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// start runs one of the product's binaries.
func start(t *testing.T, binary string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), binaryVariable+"="+binary)
	return startCommand(t, cmd)
}

func startCommand(t *testing.T, cmd *exec.Cmd) *process {
	t.Helper()
	p := &process{t: t, cmd: cmd, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("%v:\n%s", cmd.Args, tail(p.output()))
		}
	})
	return p
}

func tail(s string) string {
	const most = 6000
	if len(s) > most {
		return "..." + s[len(s)-most:]
	}
	return s
}

func (p *process) signal(s os.Signal) {
	p.t.Helper()
	assert.NilError(p.t, p.cmd.Process.Signal(s))
}

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) exitCode() int {
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}

// ctl runs a command of lotusctl to its end.
func ctl(t *testing.T, args ...string) (output string, code int) {
	t.Helper()
	p := start(t, "lotusctl", args...)
	code = p.exitCode()
	return p.output(), code
}

// fleet is a store, endpoints and balancers, each a process of its own but for
// the endpoints, which run in the test so that it can count what ran.
type fleet struct {
	t         *testing.T
	storeAddr string
	store     *process
	vms       []vm.VM
	revision  uint64                       // of the list of VMs
	endpoints map[string]*standin.Endpoint // by VM
	balancers []*balancerProcess
}

type balancerProcess struct {
	*process
	id, listen, admin, link string
}

// printed waits until the process has printed a match and returns its first
// group. Processes choose their own ports and say which.
func (p *process) printed(pattern string) string {
	p.t.Helper()
	re := regexp.MustCompile(pattern)
	var found []string
	eventually(p.t, pattern, func() bool {
		found = re.FindStringSubmatch(p.output())
		assert.Assert(p.t, found != nil || !p.exited(), "exited before it printed %s:\n%s", pattern, p.output())
		return found != nil
	})
	return found[1]
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, endpoints: map[string]*standin.Endpoint{}, revision: 1} // that of the empty list
	f.store = start(t, "lotusctl", "standin", "store", "--listen", "127.0.0.1:0")
	f.storeAddr = f.store.printed(`listening on (\S+)`)
	return f
}

func (f *fleet) storeURL() string { return "http://" + f.storeAddr }

// addEndpoint starts an endpoint of a service and lists it.
func (f *fleet) addEndpoint(tenantName, service, id, zone string, opts standin.EndpointOptions) *standin.Endpoint {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	e := standin.NewEndpoint(opts)
	srv := &http.Server{Handler: e}
	go func() { _ = srv.Serve(l) }()
	f.t.Cleanup(func() { _ = srv.Close() })
	f.endpoints[id] = e
	f.vms = append(f.vms, vm.VM{
		ID: id, Role: vm.Endpoint, Tenant: tenantName, Service: service,
		Addr: l.Addr().String(), Zone: zone, State: vm.Live,
	})
	return e
}

// list publishes the list of VMs.
func (f *fleet) list() {
	f.t.Helper()
	f.put("/v1/vms", f.vms)
	f.revision++
}

func (f *fleet) put(path string, v any) {
	f.t.Helper()
	raw, err := json.Marshal(v)
	assert.NilError(f.t, err)
	req, err := http.NewRequest(http.MethodPut, f.storeURL()+path, bytes.NewReader(raw))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	assert.NilError(f.t, resp.Body.Close())
	assert.Equal(f.t, resp.StatusCode, http.StatusOK)
}

// addBalancer starts a balancer in a zone; it is listed at the next list.
func (f *fleet) addBalancer(id, zone string, tenants ...string) *balancerProcess {
	f.t.Helper()
	return f.addBalancerRunning(func(args ...string) *process { return start(f.t, "lotuswing", args...) }, id, zone, tenants...)
}

// addBalancerRunning starts a balancer with a command of its own.
func (f *fleet) addBalancerRunning(run func(args ...string) *process, id, zone string, tenants ...string) *balancerProcess {
	f.t.Helper()
	const chosen = "127.0.0.1:0" // the process chooses its ports
	settings := map[string]any{
		"id": id, "zone": zone, "tenants": tenants,
		"listen": chosen, "admin": chosen, "link": chosen,
		"store":     map[string]any{"url": f.storeURL(), "vm_list_url": f.storeURL() + "/v1/vms", "timeout": "1s"},
		"link_tls":  map[string]any{"insecure": true},
		"stop":      map[string]any{"notice": "300ms", "limit": "1m"},
		"log_level": "debug",
	}
	raw, err := json.MarshalIndent(settings, "", "\t")
	assert.NilError(f.t, err)
	file := filepath.Join(f.t.TempDir(), id+".jsonc")
	assert.NilError(f.t, os.WriteFile(file, raw, 0o600))
	b := &balancerProcess{id: id, process: run("run", "--settings", file)}
	b.listen = b.printed(`started: .* listen=(\S+)`)
	b.admin = b.printed(`started: .* admin=(\S+)`)
	b.link = b.printed(`started: .* link=(\S+)`)
	f.balancers = append(f.balancers, b)
	f.vms = append(f.vms, vm.VM{ID: id, Role: vm.Balancer, Addr: b.link, Zone: zone, State: vm.Live})
	return b
}

// apply writes a document and expects to win.
func (f *fleet) apply(file string) {
	f.t.Helper()
	out, code := ctl(f.t, "apply", "--store", f.storeURL(), "--editor", "test", file)
	assert.Equal(f.t, code, 0, out)
}

// ready waits until all balancers are ready, know one another and have the
// last list of VMs.
func (f *fleet) ready() {
	f.t.Helper()
	for _, b := range f.balancers {
		eventually(f.t, b.id+" is ready", func() bool {
			st := b.status()
			return get("http://"+b.admin+"/readyz").status == http.StatusOK &&
				len(st.Members) == len(f.balancers) && st.Versions["vms"] == f.revision
		})
	}
}

func (b *balancerProcess) status() server.Status {
	var st server.Status
	_ = json.Unmarshal([]byte(get("http://"+b.admin+"/status").body), &st)
	return st
}

func (b *balancerProcess) url() string { return "http://" + b.listen }

// eventually waits for a condition; only a condition that never comes fails.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

type answer struct {
	status  int
	header  http.Header
	body    string
	err     error
	trailer http.Header
}

func get(url string) answer { return do(http.MethodGet, url, "", "", "") }

// do makes one request on a connection of its own.
func do(method, url, host, key, body string) answer {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	if key != "" {
		req.Header.Set(standin.KeyHeader, key)
	}
	req.GetBody = nil
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err, trailer: resp.Trailer}
}

func wantBody(key, path, body string) string {
	return fmt.Sprintf("key=%s path=%s body=%s\n", key, path, body)
}
