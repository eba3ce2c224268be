package capacity

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/leaving"
	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/coord/rendezvous"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/vm"
)

// Slope is a measured dependence of a cost on a size.
type Slope struct {
	Name   string // short, for formulas
	What   string
	Unit   string
	Per    string // the size's unit
	Points []Point
	Line   Line
}

// Report holds all slopes by name.
type Report struct {
	Slopes []Slope
}

func (r Report) line(name string) Line {
	for _, s := range r.Slopes {
		if s.Name == name {
			return s.Line
		}
	}
	panic("capacity: unreachable slope " + name)
}

var start = time.Unix(1e9, 0)

// Measure takes all measurements; it needs about ten seconds.
func Measure() Report {
	measurements := []struct {
		name, what, unit, per string
		sizes                 []int
		at                    func(int) float64
	}{
		{"decide", "one acquire and one complete in a ledger", "ns CPU", "endpoint", []int{10, 100, 1000}, decideCost},
		{"ledger", "a ledger's memory", "bytes", "endpoint", []int{100, 1000, 10000}, ledgerMemory},
		{"contract", "a ledger's memory for contracts in use", "bytes", "contract", []int{1000, 5000, 20000}, contractMemory},
		{"waiting", "a ledger's memory for waiting requests", "bytes", "request", []int{100, 500, 1900}, waitingMemory},
		{"member", "a member table's memory", "bytes", "member", []int{100, 1000, 10000}, memberMemory},
		{"merge", "making and merging one heartbeat's digest", "ns CPU", "member", []int{16, 256, 4096}, mergeCost},
		{"digest", "one heartbeat's digest on the wire", "bytes", "member", []int{16, 256, 4096}, digestBytes},
		{"mark", "leaving marks in one digest on the wire", "bytes", "mark", []int{10, 100, 1000}, markBytes},
		{"list", "the list of VMs on the wire", "bytes", "VM", []int{100, 1000, 10000}, listBytes},
		{"parse", "reading the list of VMs", "ns CPU", "VM", []int{100, 1000, 10000}, listCost},
		{"home", "finding a service's home", "ns CPU", "member", []int{16, 256, 4096}, homeCost},
	}
	var r Report
	for _, m := range measurements {
		s := Slope{Name: m.name, What: m.what, Unit: m.unit, Per: m.per}
		for _, size := range m.sizes {
			s.Points = append(s.Points, Point{Size: float64(size), Cost: m.at(size)})
		}
		s.Line = Fit(s.Points)
		r.Slopes = append(r.Slopes, s)
	}
	r.Slopes = append(r.Slopes, linkSlope())
	return r
}

func ledger(endpoints int) *contract.Ledger {
	l := contract.NewLedger(contract.Options{QueueLimit: 1 << 20, Overbook: -1})
	list := make([]contract.Endpoint, endpoints)
	for i := range list {
		list[i] = contract.Endpoint{VM: fmt.Sprintf("vm-%d", i), Addr: "127.0.0.1:80", Zone: "z", Slots: 3}
	}
	l.SetEndpoints(start, list, func(string) bool { return false })
	return l
}

func request(i int) contract.Request {
	return contract.Request{
		ID: fmt.Sprintf("vm-1-1a2363c5986-%x", i), Holder: "vm-1", Zone: "z",
		WaitUntil: start.Add(time.Hour), Deadline: start.Add(2 * time.Hour),
	}
}

func decideCost(endpoints int) float64 {
	l := ledger(endpoints)
	i := 0
	return cpuPer(func() {
		i++
		r := request(i)
		l.Acquire(start, r)
		l.Complete(start, r.ID, contract.Completed, 20*time.Millisecond)
	})
}

func ledgerMemory(endpoints int) float64 {
	return memoryOf(func() any { return ledger(endpoints) })
}

func contractMemory(contracts int) float64 {
	l := ledger(contracts/3 + 1)
	return memoryOf(func() any {
		for i := range contracts {
			l.Acquire(start, request(i))
		}
		return l
	})
}

func waitingMemory(requests int) float64 {
	l := ledger(1)
	for i := range 3 {
		l.Acquire(start, request(i))
	}
	return memoryOf(func() any {
		for i := range requests {
			l.Acquire(start, request(i+3))
		}
		return l
	})
}

func members(n int) []member.Member {
	list := make([]member.Member, n)
	for i := range list {
		list[i] = member.Member{ID: fmt.Sprintf("vm-%06d", i), Addr: "10.20.30.40:8082", Zone: "zone-12", Incarnation: uint64(start.UnixMilli())}
	}
	return list
}

func table(n int) *member.Table {
	list := members(n)
	t := member.NewTable(list[0], member.Options{DigestNews: 64})
	t.Merge(start, list[1:])
	return t
}

func memberMemory(n int) float64 {
	return memoryOf(func() any { return table(n) })
}

func mergeCost(n int) float64 {
	a, b := table(n), table(n)
	for range n {
		a.Digest()
	}
	return cpuPer(func() { b.Merge(start, a.Digest()) })
}

// encodedBytes returns what a value takes on a link whose types are known
// already.
func encodedBytes(v any) float64 {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	if err := enc.Encode(v); err != nil {
		panic("capacity: unreachable: " + err.Error())
	}
	first := buf.Len()
	if err := enc.Encode(v); err != nil {
		panic("capacity: unreachable: " + err.Error())
	}
	return float64(buf.Len() - first)
}

func digest(n int) link.Digest {
	t := table(n)
	for range n { // as in a fleet at rest: nothing is news
		t.Digest()
	}
	return link.Digest{From: t.Self(), Members: t.Digest(), Versions: map[string]uint64{"config/bennani": 17, "vms": 3000}}
}

func digestBytes(n int) float64 { return encodedBytes(digest(n)) }

func markBytes(n int) float64 {
	var s leaving.Set
	for i := range n {
		s = s.With(leaving.Mark{VM: fmt.Sprintf("vm-%06d", i), Source: leaving.Answer}, start)
	}
	return encodedBytes(link.Digest{Leaving: s.Marks()})
}

func vmList(n int) []byte {
	l := vm.List{Revision: 1}
	for i := range n {
		l.VMs = append(l.VMs, vm.VM{
			ID: fmt.Sprintf("vm-%06d", i), Role: vm.Endpoint, Tenant: "tenant-1", Service: "service-930",
			Addr: "10.20.30.40:8080", Zone: "zone-12", State: vm.Live,
		})
	}
	raw, err := json.Marshal(l)
	if err != nil {
		panic("capacity: unreachable: " + err.Error())
	}
	return raw
}

func listBytes(n int) float64 { return float64(len(vmList(n))) }

func listCost(n int) float64 {
	raw := vmList(n)
	return cpuPer(func() {
		if _, err := vm.Parse(raw); err != nil {
			panic("capacity: unreachable: " + err.Error())
		}
	})
}

func homeCost(n int) float64 {
	ids := make([]string, n)
	for i, m := range members(n) {
		ids[i] = m.ID
	}
	rng := rand.New(rand.NewPCG(1, 1))
	keys := make([]string, 64)
	for i := range keys {
		keys[i] = fmt.Sprintf("tenant/service-%d", rng.IntN(930))
	}
	i := 0
	return cpuPer(func() {
		i++
		rendezvous.First(keys[i%len(keys)], ids)
	})
}

// receiver answers digests as a balancer does, without one behind it.
type receiver struct{ reply link.Digest }

// Exchange swaps digests.
func (r *receiver) Exchange(_ link.Digest, reply *link.Digest) error {
	*reply = r.reply
	return nil
}

// Acquire grants.
func (r *receiver) Acquire(a link.AcquireArgs, reply *link.AcquireReply) error {
	reply.Kind, reply.Endpoint.VM = contract.Granted, a.ID
	return nil
}

// linkSlope measures calls between two balancers over loopback, both ends
// together, against the number of members in a digest; size 0 is an acquire.
func linkSlope() Slope {
	s := Slope{Name: "call", What: "one call on a link, both ends, with a digest of so many members", Unit: "ns CPU", Per: "member sent"}
	for _, n := range []int{2, 8, 13} {
		s.Points = append(s.Points, Point{Size: float64(n), Cost: exchangeCost(n)})
	}
	s.Line = Fit(s.Points)
	return s
}

func exchangeCost(n int) float64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("capacity: no loopback: " + err.Error())
	}
	d := digest(n)
	server, err := link.Serve(l, nil, &receiver{reply: d})
	if err != nil {
		panic("capacity: unreachable: " + err.Error())
	}
	defer func() { _ = server.Close() }()
	c := link.NewClient(nil)
	defer c.Close()
	return cpuPer(func() {
		var reply link.Digest
		if err := c.Call(context.Background(), l.Addr().String(), link.Exchange, d, &reply); err != nil {
			panic("capacity: loopback call failed: " + err.Error())
		}
	})
}
