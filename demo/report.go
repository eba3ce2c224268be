package demo

import (
	"fmt"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/audit"
	"github.com/lotuswing/lotuswing/examples"
	"github.com/lotuswing/lotuswing/load"
	"github.com/lotuswing/lotuswing/standin"
	"github.com/lotuswing/lotuswing/tenant"
)

// Row is a line of the report: one request kind of one tenant.
type Row struct {
	Tenant, Kind string
	Load         *load.Report
}

// Cost is what measuring cost a tenant.
type Cost struct {
	Tenant         string
	Spent, Allowed time.Duration
	Probes         int
}

// Report is what a run found.
type Report struct {
	Rows       []Row
	Costs      []Cost
	Violations []audit.Violation
}

// finish compares everything that was seen with the promises.
func (r *run) finish(report *Report) {
	r.sampleOnce()
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := map[string][]standin.Run{}
	for _, e := range r.endpoints {
		for _, one := range e.Runs() {
			runs[one.Key] = append(runs[one.Key], one)
		}
	}
	found := audit.Answers(r.told, runs)
	for id, since := range r.leaving {
		found = append(found, audit.Leaving(id, r.endpoints[id].Runs(), since, leavingGrace, r.pace.used)...)
	}
	for key, seen := range r.versions {
		name := key[strings.LastIndexByte(key, '/')+1:]
		found = append(found, audit.Versions(key, seen, r.applied[name])...)
	}
	for _, doc := range examples.Tenants {
		cost, violations := r.measuring(doc)
		report.Costs = append(report.Costs, cost)
		found = append(found, violations...)
	}
	report.Violations = found
}

// measuring counts the probes at the endpoints themselves.
func (r *run) measuring(doc []byte) (Cost, []audit.Violation) {
	cfg, err := tenant.Parse("example", doc)
	if err != nil {
		panic(fmt.Sprintf("demo: unreachable: %v", err))
	}
	cost := Cost{Tenant: cfg.Tenant}
	for _, p := range pools {
		for i := range p.endpoints {
			if p.tenant == cfg.Tenant {
				cost.Probes += r.endpoints[fmt.Sprintf("%s-%d", p.service, i)].Probes()
			}
		}
	}
	elapsed := time.Since(r.started)
	cost.Spent = time.Duration(cost.Probes) * cfg.Measuring.Cost()
	cost.Allowed = cfg.Measuring.Limit().Allowed(elapsed)
	return cost, audit.Measuring(cost.Spent, cfg.Measuring.Limit(), elapsed)
}
