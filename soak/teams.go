package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/window"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// Callers have keys. Teams send many times their quotas, and keys are taken away while somebody
// still uses them. These faults strike beside the others, drawn from numbers of their own.

const (
	// commonTeam is the team of the callers that disturb nobody; it has no quota.
	commonTeam = "common"
	// hotFor is how long a team sends more than its quota at most, hotTimes how many times as much,
	// and hotCallers how many do.
	hotFor     = 6 * time.Second
	hotTimes   = 8
	hotCallers = 4
	// keyUsedFor is for how long a key is used on after it was taken away, each keyUsedEvery.
	keyUsedFor   = 6 * time.Second
	keyUsedEvery = 50 * time.Millisecond
	// The operators bear with so much above a quota in a window of time.
	quotaWindow = 5 * time.Second
	quotaFactor = 1.1
	quotaExtra  = 20
)

// quotas are the teams that have one: a balancer's part of it is many requests, or less than one.
var quotas = []platformtest.Team{
	{Name: "busy", Rate: 20, Burst: 20},
	{Name: "small", Rate: 1, Burst: 1},
}

// teams are those of the configuration, with their present keys.
type teams struct {
	mu     sync.Mutex
	list   []platformtest.Team
	issued int
	taken  map[string]time.Time // keys that were taken away
}

// newTeams returns the teams with a first key each.
func newTeams() *teams {
	t := &teams{taken: map[string]time.Time{}}
	for _, team := range append([]platformtest.Team{{Name: commonTeam}}, quotas...) {
		t.list = append(t.list, team)
		t.renew(len(t.list) - 1)
	}
	return t
}

// renew gives a team another key; t.mu is held, or nobody else has t yet.
func (t *teams) renew(i int) {
	t.issued++
	t.list[i].Keys = []string{fmt.Sprintf("key-%d-of-%s", t.issued, t.list[i].Name)}
}

// key returns the present key of a team.
func (t *teams) key(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, team := range t.list {
		if team.Name == name {
			return team.Keys[0]
		}
	}
	panic("soak: unreachable: team " + name)
}

// all returns the teams as they are now.
func (t *teams) all() []platformtest.Team {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.list)
}

// take takes a team's key away and gives it another one.
func (t *teams) take(name string) (old string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.IndexFunc(t.list, func(team platformtest.Team) bool { return team.Name == name })
	old = t.list[i].Keys[0]
	t.renew(i)
	return old
}

// ended notes that a configuration without a key was published.
func (t *teams) ended(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taken[key] = time.Now()
}

// takenAt returns when a key was taken away.
func (t *teams) takenAt(key string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.taken[key]
	return at, ok
}

// strikeTeams lets teams send too much and takes keys away at times, a mean gap apart, until ctx
// ends.
func (w *world) strikeTeams(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	var striking sync.WaitGroup
	defer striking.Wait()
	rest := func() { pause.For(ctx, time.Duration(rng.Int64N(int64(2*gap)))) }
	number := firstHotCaller
	for rest(); ctx.Err() == nil; rest() {
		team := quotas[rng.IntN(len(quotas))]
		number += hotCallers
		if rng.IntN(3) == 0 {
			report("key taken away")
			w.takeKey(ctx, team.Name, number, rng, &striking)
			continue
		}
		report("team sends too much")
		hot, stop := context.WithTimeout(ctx, time.Duration(rng.Int64N(int64(hotFor))))
		perCaller := time.Duration(float64(time.Second) * hotCallers / (hotTimes * team.Rate))
		for i := range hotCallers {
			c := w.callerOf(team.Name, number+i, rng.Uint64())
			c.key = func() string { return w.teams.key(team.Name) }
			striking.Go(func() { c.runEvery(hot, perCaller) })
		}
		striking.Go(func() {
			<-hot.Done()
			stop()
		})
	}
}

// firstHotCaller numbers callers of teams apart from the others.
const firstHotCaller = 1000

// callerOf returns a caller of a team.
func (w *world) callerOf(team string, number int, seed uint64) *caller {
	c := newCaller(number, w.balancers, w.sent, rand.New(rand.NewPCG(seed, 0)))
	c.team = team
	return c
}

// takeKey takes a team's key away, which somebody uses on.
func (w *world) takeKey(ctx context.Context, team string, number int, rng *rand.Rand, using *sync.WaitGroup) {
	old := w.teams.take(team)
	c := w.callerOf(team, number, rng.Uint64())
	c.key = func() string { return old }
	using.Go(func() {
		used, stop := context.WithTimeout(ctx, keyUsedFor)
		defer stop()
		c.runEvery(used, keyUsedEvery)
	})
	w.publish(rng)
	w.teams.ended(old)
}

// runEvery sends requests a mean time apart until ctx ends.
func (c *caller) runEvery(ctx context.Context, mean time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		if b := c.choose(); b != nil {
			c.send(n, b)
		}
		pause.For(ctx, time.Duration(c.rng.Int64N(int64(2*mean))))
	}
	c.client.CloseIdleConnections()
}

// checkTeams compares what endpoints ran for teams with their quotas and keys.
func (l *ledger) checkTeams(t *teams, c *calendar, endpoints []*endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ran := map[string][]time.Time{}
	for _, e := range endpoints {
		for _, run := range e.server.Runs() {
			l.mu.Lock()
			r := l.sent[run.Request]
			l.mu.Unlock()
			if r == nil || r.team == "" {
				continue
			}
			ran[r.team] = append(ran[r.team], run.At)
			if run.Keyed || run.Team != r.team {
				l.broken(KeysStay, r.id, "%s got it with a key: %t, of team %q, sent by %q", e.server.ID, run.Keyed, run.Team, r.team)
			}
			if at, ok := t.takenAt(r.key); ok && r.at.Sub(at) > applyLimit && c.quiet(r.balancer, at, run.At) {
				l.broken(KeysEnd, r.id, "%s sent it on %v after its key was taken away", r.balancer, run.At.Sub(at))
			}
		}
	}
	for _, team := range quotas {
		slices.SortFunc(ran[team.Name], time.Time.Compare)
		most, allowed := window.MaxCount(ran[team.Name], quotaWindow), (team.Rate*quotaWindow.Seconds()+team.Burst)*quotaFactor+quotaExtra
		if float64(most) > allowed {
			l.broken(QuotasHold, team.Name, "%d requests in %v, allowed %v", most, quotaWindow, allowed)
		}
	}
	l.checkKnown()
}

// checkKnown looks for callers that were told that nobody holds their key though its team always has.
func (l *ledger) checkKnown() {
	l.mu.Lock()
	var unknown []*sentRequest
	for _, r := range l.sent {
		if r.team == commonTeam && r.status == http.StatusUnauthorized {
			unknown = append(unknown, r)
		}
	}
	l.mu.Unlock()
	for _, r := range unknown {
		l.broken(KeysEnd, r.id, "%s does not know a key that is held", r.balancer)
	}
}
