package tenant

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/internal/jsonc"
	"github.com/tailscale/hujson"
)

// Load reads and renders a file.
func Load(file string) (*Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("tenant: %w", err)
	}
	return Parse(file, raw)
}

// Parse checks and renders a document.
func Parse(file string, raw []byte) (*Config, error) {
	var doc Document
	dec := jsonc.Decode(file, raw, &doc)
	if err := dec.Err(); err != nil {
		return nil, err
	}
	cfg := render(dec, doc)
	if err := dec.Err(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// Standard returns the document without comments, as it is stored.
func Standard(raw []byte) (json.RawMessage, error) {
	out, err := hujson.Standardize(raw)
	if err != nil {
		return nil, fmt.Errorf("tenant: %w", err)
	}
	return out, nil
}

func render(dec *jsonc.Decoder, doc Document) *Config {
	dec.Check(doc.Tenant != "", "tenant", "is missing; name the tenant")
	dec.Check(len(doc.Services) > 0, "services", "is missing; name at least one service")
	dec.Check(len(doc.Teams) > 0, "teams", "is missing; name at least one team")
	checkMeasuring(dec, doc.Measuring)
	cfg := &Config{Tenant: doc.Tenant, Measuring: doc.Measuring, Services: map[string]Service{}, byHost: map[string]*RenderedTeam{}}
	for name, s := range doc.Services {
		cfg.Services[name] = checkService(dec, "services."+name, s)
	}
	for _, name := range sortedKeys(doc.Teams) {
		cfg.Teams = append(cfg.Teams, renderTeam(dec, doc, name))
	}
	for i := range cfg.Teams {
		team := &cfg.Teams[i]
		for _, host := range team.Hosts {
			other := cfg.byHost[host]
			dec.Check(other == nil, "teams."+team.Name+".hosts", "names %q, which another team has", host)
			cfg.byHost[host] = team
		}
	}
	return cfg
}

func checkMeasuring(dec *jsonc.Decoder, m Measuring) {
	err := m.Limit().Validate()
	dec.Check(err == nil, "measuring", "%v", err)
	dec.Check(m.ProbeCost >= 0 && m.ConnectCost >= 0, "measuring", "has a negative cost")
	dec.Check(m.Rate == 0 || m.Cost() > 0, "measuring.probe_cost", "is missing; give the cost of one probe")
	dec.Check(m.Rate == 0 || m.Reserve >= 2*m.Cost(), "measuring.reserve",
		"is %v; at least the cost of two probes with their connections, %v", m.Reserve, 2*m.Cost())
	dec.Check(m.Rate == 0 || m.Burst-m.Reserve >= m.Cost(), "measuring.burst",
		"is %v; at least the reserve and the cost of one probe, %v", m.Burst, m.Reserve+m.Cost())
}

func checkService(dec *jsonc.Decoder, path string, s Service) Service {
	dec.Check(s.Slots >= 1, path+".slots", "is %d; at least 1", s.Slots)
	dec.Check(s.Connections >= 1, path+".connections", "is %d; at least 1", s.Connections)
	dec.Check(s.ProbePath == "" || s.ProbePath[0] == '/', path+".probe_path", "is %q; it starts with /", s.ProbePath)
	if s.Protocol == "" {
		s.Protocol = "http/1.1"
	}
	dec.Check(s.Protocol == "http/1.1" || s.Protocol == "h2c", path+".protocol", "is %q; http/1.1 or h2c", s.Protocol)
	return s
}

func renderTeam(dec *jsonc.Decoder, doc Document, name string) RenderedTeam {
	path := "teams." + name
	team := doc.Teams[name]
	out := RenderedTeam{Name: name, Hosts: team.Hosts}
	tmpl, ok := doc.Templates[team.Template]
	dec.Check(ok, path+".template", "is %q; templates are %s", team.Template, strings.Join(sortedKeys(doc.Templates), ", "))
	dec.Check(len(team.Hosts) > 0, path+".hosts", "is missing; name at least one host")
	if !ok {
		return out
	}
	values := fill(dec, doc, path, tmpl, team)
	for i, spec := range tmpl.Kinds {
		place := fmt.Sprintf("templates.%s.kinds[%d]", team.Template, i)
		out.Kinds = append(out.Kinds, renderKind(dec, doc, place, spec, values))
	}
	return out
}

// fill returns the value of each parameter of the template for a team.
func fill(dec *jsonc.Decoder, doc Document, path string, tmpl Template, team Team) map[string]string {
	values := map[string]string{}
	for _, name := range sortedKeys(team.Parameters) {
		_, ok := tmpl.Parameters[name]
		dec.Check(ok, path+".parameters."+name, "is unknown; parameters are %s", strings.Join(sortedKeys(tmpl.Parameters), ", "))
	}
	for _, name := range sortedKeys(tmpl.Parameters) {
		p := tmpl.Parameters[name]
		value, given := team.Parameters[name]
		if !given {
			value = p.Default
		}
		place := path + ".parameters." + name
		dec.Check(value != "", place, "is missing and has no default")
		checkParameter(dec, doc, place, p, value)
		values[name] = value
	}
	return values
}

func checkParameter(dec *jsonc.Decoder, doc Document, place string, p Parameter, value string) {
	switch p.Type {
	case "duration":
		d, err := time.ParseDuration(value)
		dec.Check(err == nil, place, "is %q; a duration such as \"250ms\" belongs here", value)
		if low, e := time.ParseDuration(p.Min); e == nil && err == nil {
			dec.Check(d >= low, place, "is %v; at least %v", d, low)
		}
		if high, e := time.ParseDuration(p.Max); e == nil && err == nil {
			dec.Check(d <= high, place, "is %v; at most %v", d, high)
		}
	case "service":
		_, ok := doc.Services[value]
		dec.Check(ok, place, "is %q; services are %s", value, strings.Join(sortedKeys(doc.Services), ", "))
	case "string":
	default:
		dec.Check(false, place, "has type %q; types are duration, service, string", p.Type)
	}
}

var placeholder = regexp.MustCompile(`\$\{([^}]*)\}`)

func renderKind(dec *jsonc.Decoder, doc Document, place string, spec KindSpec, values map[string]string) Kind {
	expand := func(field, text string) string {
		return placeholder.ReplaceAllStringFunc(text, func(m string) string {
			name := m[2 : len(m)-1]
			value, ok := values[name]
			dec.Check(ok, place+"."+field, "uses ${%s}, which is no parameter", name)
			return value
		})
	}
	k := Kind{Name: spec.Name, Methods: spec.Methods, Repeatable: spec.Repeatable}
	k.Path = expand("path", spec.Path)
	k.Service = expand("service", spec.Service)
	dec.Check(k.Name != "", place+".name", "is missing")
	dec.Check(len(k.Methods) > 0, place+".methods", "is missing; name at least one method")
	dec.Check(strings.HasPrefix(k.Path, "/"), place+".path", "is %q; it starts with /", k.Path)
	_, ok := doc.Services[k.Service]
	dec.Check(ok, place+".service", "is %q; services are %s", k.Service, strings.Join(sortedKeys(doc.Services), ", "))
	class, err := placement.ParseClass(expand("class", spec.Class))
	dec.Check(err == nil, place+".class", "is %q; interactive or patient", spec.Class)
	k.Class = class
	k.Patience = positive(dec, place+".patience", expand("patience", spec.Patience))
	k.Timeout = positive(dec, place+".timeout", expand("timeout", spec.Timeout))
	dec.Check(k.Patience <= k.Timeout, place+".patience", "is %v, longer than the timeout %v", k.Patience, k.Timeout)
	k.segments = strings.Split(k.Path, "/")
	return k
}

func positive(dec *jsonc.Decoder, place, text string) time.Duration {
	d, err := time.ParseDuration(text)
	dec.Check(err == nil && d > 0, place, "is %q; a positive duration such as \"2s\" belongs here", text)
	return d
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
