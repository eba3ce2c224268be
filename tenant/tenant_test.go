package tenant_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/examples"
	"github.com/lotuswing/lotuswing/tenant"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestFaultsAreNamed with file, line, column and field.
func TestFaultsAreNamed(t *testing.T) {
	_, err := tenant.Load("testdata/wrong.jsonc")
	assert.Assert(t, err != nil)
	golden.Assert(t, err.Error()+"\n", "wrong.golden")
}

// TestTeamsFillInTemplates: each team gets its own values and the defaults of
// the others.
func TestTeamsFillInTemplates(t *testing.T) {
	cfg, err := tenant.Parse("bennani.jsonc", examples.Bennani)
	assert.NilError(t, err)
	patience := map[string]time.Duration{}
	for _, team := range cfg.Teams {
		patience[team.Name] = team.Kinds[0].Patience
	}
	assert.DeepEqual(t, patience, map[string]time.Duration{
		"medina": 2 * time.Second, "tribunal": time.Second, "ville-nouvelle": 2 * time.Second, "back-room": 8 * time.Second,
	})
}

// TestRoutes finds team and kind by host, method and path.
func TestRoutes(t *testing.T) {
	cfg, err := tenant.Parse("bennani.jsonc", examples.Bennani)
	assert.NilError(t, err)
	cases := []struct{ host, method, path, want string }{
		{"medina.bennani", "GET", "/cases/17", "case-look-up"},
		{"medina.bennani", "GET", "/cases/17/pages", string(reason.NoKind)},
		{"medina.bennani", "GET", "/cases/", string(reason.NoKind)},
		{"medina.bennani", "GET", "/cases%2F17", string(reason.NoKind)},
		{"medina.bennani", "POST", "/cases/17", string(reason.NoKind)},
		{"tribunal.bennani", "POST", "/petitions", "petition-filing"},
		{"tribunal.bennani", "GET", "/petitions/9", "petition-status"},
		{"back-room.bennani", "POST", "/archives/1911/deeds", "archive-query"},
		{"elsewhere", "GET", "/cases/17", string(reason.NoTeam)},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.host, c.method, c.path), func(t *testing.T) {
			route, why := cfg.Route(c.host, c.method, c.path)
			got := string(why)
			if why == "" {
				got = route.Kind.Name
			}
			assert.Equal(t, got, c.want)
		})
	}
	route, _ := cfg.Route("tribunal.bennani", "POST", "/petitions")
	assert.Assert(t, !route.Kind.Repeatable)
	assert.Equal(t, route.Kind.Class, placement.Interactive)
	assert.Equal(t, route.ServiceKey(), "bennani/petitions")
}

// FuzzParse: no document makes the parser panic.
func FuzzParse(f *testing.F) {
	f.Add(string(examples.Himsagar))
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := tenant.Parse("f", []byte(text)); err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Fatalf("no place in %q", err)
		}
	})
}

// FuzzRoute: no path makes the matcher panic.
func FuzzRoute(f *testing.F) {
	cfg, err := tenant.Parse("bennani.jsonc", examples.Bennani)
	if err != nil {
		f.Fatal(err)
	}
	f.Add("/cases/1")
	f.Fuzz(func(_ *testing.T, path string) { cfg.Route("medina.bennani", "GET", path) })
}
