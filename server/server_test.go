package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/coord/store"
	"github.com/lotuswing/lotuswing/examples"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/standin"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/vm"
	"gotest.tools/v3/assert"
)

// rig is balancers in this process in front of endpoints that answer at once.
type rig struct {
	store     *standin.Store
	servers   []*server.Server
	endpoints []string
}

func newRig(t testing.TB, balancers, endpoints int) *rig {
	t.Helper()
	return newRigWith(t, balancers, endpoints, func(int) balancer.Policy { return balancer.Policy{} })
}

// newRigWith is newRig with a policy for each balancer.
func newRigWith(t testing.TB, balancers, endpoints int, policy func(i int) balancer.Policy) *rig {
	t.Helper()
	r := &rig{store: standin.NewStore(standin.StoreOptions{})}
	storeServer := httptest.NewServer(r.store)
	t.Cleanup(storeServer.Close)
	r.publish(t, 1)
	var vms []vm.VM
	for i := range endpoints {
		e := httptest.NewServer(http.HandlerFunc(instant))
		t.Cleanup(e.Close)
		addr := e.Listener.Addr().String()
		r.endpoints = append(r.endpoints, addr)
		vms = append(vms, vm.VM{ID: fmt.Sprintf("e%d", i), Role: vm.Endpoint, Tenant: "bennani", Service: "case-files", Addr: addr, Zone: "medina", State: vm.Live})
	}
	for i := range balancers {
		text := fmt.Sprintf(`{"id": "vm-%d", "zone": "medina", "tenants": ["bennani"], "listen": "127.0.0.1:0",
			"admin": "127.0.0.1:0", "link": "127.0.0.1:0", "store": {"url": %q, "vm_list_url": %q}, "link_tls": {"insecure": true}}`,
			i, storeServer.URL, storeServer.URL+"/v1/vms")
		s, err := settings.Parse("rig", []byte(text))
		assert.NilError(t, err)
		srv, err := server.Start(server.Config{Settings: s, Log: hclog.NewNullLogger(), Traces: io.Discard, Policy: policy(i)})
		assert.NilError(t, err)
		t.Cleanup(srv.Kill)
		r.servers = append(r.servers, srv)
		vms = append(vms, vm.VM{ID: fmt.Sprintf("vm-%d", i), Role: vm.Balancer, Addr: srv.LinkAddr(), Zone: "medina", State: vm.Live})
	}
	r.store.SetVMs(vms)
	for _, s := range r.servers {
		for ok := false; !ok; time.Sleep(5 * time.Millisecond) {
			ok, _ = s.Node().Ready()
			ok = ok && len(s.Node().Status().Members) == balancers
		}
	}
	return r
}

// publish writes a version of the configuration straight into the store.
func (r *rig) publish(t testing.TB, version uint64) {
	t.Helper()
	body, err := tenant.Standard(examples.Bennani)
	assert.NilError(t, err)
	raw, err := json.Marshal(map[string]any{
		"version": version, "body": body, "edits": []map[string]any{{"id": fmt.Sprint(version), "editor": "rig", "version": version}},
	})
	assert.NilError(t, err)
	entry, _ := r.store.Lookup("config/bennani")
	_, ok := r.store.CompareAndSwap(store.Write{Key: "config/bennani", Value: raw, Revision: entry.Revision})
	assert.Assert(t, ok)
}

func instant(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Lotuswing-Load", "inflight=0, slots=3, state=live")
	_, _ = io.WriteString(w, "answer")
}

func call(client *http.Client, addr string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/cases/1", nil)
	if err != nil {
		return 0, err
	}
	req.Host = "medina.bennani"
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %s", resp.Status)
	}
	return time.Since(begin), err
}

// BenchmarkAdded measures what a balancer adds to a request against a direct
// call to the same endpoint, in turn, one at a time: p50 and p99 of both and
// their differences. "home" is a balancer that is the service's home itself,
// "link" one that asks another over loopback.
func BenchmarkAdded(b *testing.B) {
	for _, name := range []string{"home", "link"} {
		b.Run(name, func(b *testing.B) {
			r := newRig(b, 2, 3)
			home := r.servers[0].Node().Status().Homes["bennani/case-files"]
			var front string
			for _, s := range r.servers {
				if (s.Node().Status().ID == home) == (name == "home") {
					front = s.Addr()
				}
			}
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
			var direct, through []time.Duration
			for b.Loop() {
				d, err := call(client, r.endpoints[0])
				assert.NilError(b, err)
				t, err := call(client, front)
				assert.NilError(b, err)
				direct, through = append(direct, d), append(through, t)
			}
			report(b, direct, through)
		})
	}
}

func report(b *testing.B, direct, through []time.Duration) {
	slices.Sort(direct)
	slices.Sort(through)
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		d, t := quantile(direct, q.at), quantile(through, q.at)
		b.ReportMetric(float64(d.Microseconds()), "direct-"+q.name+"-us")
		b.ReportMetric(float64((t - d).Microseconds()), "added-"+q.name+"-us")
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// BenchmarkThroughput measures requests a second through one balancer that is
// the home, with many callers, on all processors.
func BenchmarkThroughput(b *testing.B) {
	r := newRig(b, 1, 20)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := call(client, r.servers[0].Addr()); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds()/float64(runtime.GOMAXPROCS(0)), "req/s/core")
}

// BenchmarkIdleConnections measures the memory of a caller's idle connection.
func BenchmarkIdleConnections(b *testing.B) {
	r := newRig(b, 1, 3)
	const conns = 1000
	var bytes float64
	for b.Loop() {
		before := heap()
		var open []net.Conn
		for range conns {
			c, err := net.Dial("tcp", r.servers[0].Addr())
			assert.NilError(b, err)
			_, err = io.WriteString(c, "GET /cases/1 HTTP/1.1\r\nHost: medina.bennani\r\n\r\n")
			assert.NilError(b, err)
			buf := make([]byte, 1024)
			_, err = c.Read(buf)
			assert.NilError(b, err)
			open = append(open, c)
		}
		bytes = float64(heap()-before) / conns
		for _, c := range open {
			_ = c.Close()
		}
	}
	b.ReportMetric(bytes, "bytes/conn")
}

// heap returns the bytes of heap and stacks in use.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkInForce measures the time from a write in the store until the last
// of the balancers has the version in force, and the calls on the store.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{3, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRig(b, n, 3)
			version := uint64(1)
			var took []time.Duration
			calls, begin := r.store.Calls(), time.Now()
			for b.Loop() {
				version++
				r.publish(b, version)
				at := time.Now()
				for _, s := range r.servers {
					for s.Node().Version("config/bennani") < version {
						time.Sleep(time.Millisecond)
					}
				}
				took = append(took, time.Since(at))
			}
			slices.Sort(took)
			b.ReportMetric(float64(quantile(took, 0.5).Milliseconds()), "p50-ms")
			b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "worst-ms")
			b.ReportMetric(float64(r.store.Calls()-calls)/time.Since(begin).Seconds(), "store-calls/s")
		})
	}
}

// BenchmarkControl measures what balancers at rest spend on one another.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{3, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRig(b, n, 3)
			calls, cpu, begin := r.store.Calls(), processorTime(b), time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			span := time.Since(begin).Seconds()
			b.ReportMetric(100*(processorTime(b)-cpu).Seconds()/span/float64(n), "%core/balancer")
			b.ReportMetric(float64(r.store.Calls()-calls)/span, "store-calls/s")
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
