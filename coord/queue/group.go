package queue

import "time"

// group holds the waiting requests of one priority that are all on time, or all late. Its teams take
// turns by start-time fair queueing: each team has a tag, the virtual time at which its next request
// is due; the team with the lowest tag is served first, and each request served adds the inverse of
// the team's weight to the tag.
type group struct {
	priority int
	late     bool
	waiting  int
	taken    int // requests taken out by Next that have neither returned nor ended
	// passedOver is the number of requests of the next more urgent group that were served since the
	// last one of this group, while this group was waiting.
	passedOver int

	becameIdle int // number of times that teams have become idle since the last call of dropIdle that dropped some

	virtual  float64          // tag of the request served last
	weight   float64          // of the active teams
	teams    map[string]*team // active ones, and idle ones whose tag is ahead of virtual
	turns    heap[*team]      // active teams, the lowest tag first
	backlogs heap[*team]      // active teams, the most waiting requests relative to the weight first
}

// team holds the waiting requests of one team in a group. It is active if there are any.
type team struct {
	name                    string
	weight, tag             float64
	oldest, newest          heap[*Place]
	turnIndex, backlogIndex int
	// net counts the team's requests served while it had waiting ones, without those that came back and
	// went before newer ones: the rate at which a new request of the team gets closer to its turn.
	net meter
}

func newGroup(priority int, late bool) *group {
	return &group{
		priority: priority, late: late, teams: map[string]*team{},
		turns: heap[*team]{
			before: func(a, b *team) bool {
				return a.tag < b.tag || a.tag == b.tag && a.oldest.first().olderThan(b.oldest.first())
			},
			setIndex: func(t *team, i int) { t.turnIndex = i },
		},
		backlogs: heap[*team]{
			before:   func(a, b *team) bool { return a.backlog() > b.backlog() },
			setIndex: func(t *team, i int) { t.backlogIndex = i },
		},
	}
}

func newTeam(name string) *team {
	return &team{
		name:   name,
		oldest: heap[*Place]{before: (*Place).olderThan, setIndex: func(p *Place, i int) { p.oldestIndex = i }},
		newest: heap[*Place]{before: func(a, b *Place) bool { return b.olderThan(a) }, setIndex: func(p *Place, i int) { p.newestIndex = i }},
	}
}

// backlog returns the number of waiting requests relative to the weight.
func (t *team) backlog() float64 { return float64(t.oldest.len()) / t.weight }

// olderThan returns how many requests of the team are served before a new one: none if that is older
// than all of them, otherwise all.
func (t *team) olderThan(r Request) int {
	if t.oldest.len() == 0 || r.Since.Before(t.oldest.first().request.Since) {
		return 0
	}
	return t.oldest.len()
}

// wait forecasts how long a request waits behind the given number of requests of its team; 0 if that
// is not known, or the request is the first one.
func (t *team) wait(ahead int) time.Duration {
	rate, known := t.net.rate()
	if !known || ahead == 0 {
		return 0
	}
	return seconds(float64(ahead+1) / rate)
}

// idleTeams is the number of times that teams have become idle, in excess of the number of teams,
// after which those that can be dropped are dropped. It keeps the cost of doing so low.
const idleTeams = 64

// add adds a request.
func (g *group) add(p *Place, now time.Time) {
	t, ok := g.teams[p.request.Team]
	if !ok {
		t = newTeam(p.request.Team)
		g.teams[t.name] = t
	}
	p.group, p.team = g, t
	t.net.advance(t.oldest.len() > 0, now)
	if !p.taken && t.oldest.len() > 0 && p.olderThan(t.newest.first()) {
		t.net.count--
	}
	t.oldest.push(p)
	t.newest.push(p)
	g.waiting++
	if t.oldest.len() == 1 {
		t.tag = max(t.tag, g.virtual)
		t.weight = g.weightOf(p.request.Weight)
		g.weight += t.weight
		g.turns.push(t)
		g.backlogs.push(t)
		return
	}
	g.turns.fix(t.turnIndex)
	g.backlogs.fix(t.backlogIndex)
}

// weightOf returns the weight of a team that becomes active. A team without one gets the mean weight
// of the active teams.
func (g *group) weightOf(declared float64) float64 {
	switch {
	case declared > 0:
		return declared
	case g.turns.len() > 0:
		return g.weight / float64(g.turns.len())
	}
	return 1
}

// remove removes a request that waits in the group.
func (g *group) remove(p *Place, now time.Time) {
	t := p.team
	t.net.advance(true, now)
	t.oldest.remove(p.oldestIndex)
	t.newest.remove(p.newestIndex)
	g.waiting--
	if t.oldest.len() > 0 {
		g.turns.fix(t.turnIndex)
		g.backlogs.fix(t.backlogIndex)
		return
	}
	g.turns.remove(t.turnIndex)
	g.backlogs.remove(t.backlogIndex)
	g.weight -= t.weight
	if g.turns.len() == 0 {
		g.weight = 0 // without rounding errors
	}
	g.dropIdle()
}

// dropIdle drops the idle teams that are not ahead of the others, now and then.
func (g *group) dropIdle() {
	if g.becameIdle++; g.becameIdle <= len(g.teams)+idleTeams {
		return
	}
	g.becameIdle = 0
	for name, t := range g.teams {
		if t.oldest.len() == 0 && t.tag <= g.virtual {
			delete(g.teams, name)
		}
	}
}

// next returns the request that is due first; the group must not be empty.
func (g *group) next() *Place { return g.turns.first().oldest.first() }

// last returns the request to displace: the newest one of the team with the most waiting requests
// relative to its weight. The group must not be empty.
func (g *group) last() *Place { return g.backlogs.first().newest.first() }

// take removes a request and charges it to its team.
func (g *group) take(p *Place, now time.Time) {
	g.virtual = max(g.virtual, p.team.tag)
	p.team.tag += 1 / p.team.weight
	g.taken++
	g.remove(p, now)
}

// putBack adds a request again that take has removed, and cancels the charge.
func (g *group) putBack(p *Place, now time.Time) {
	g.taken--
	t := p.team
	if kept, ok := g.teams[t.name]; ok {
		t = kept
	} else {
		g.teams[t.name] = t
	}
	t.tag -= 1 / p.team.weight
	g.add(p, now)
}

// ahead estimates how many requests of the group are served before a new one: as many of each team
// as its weight allows until the new request's team has had its turns, at most all.
func (g *group) ahead(r Request) float64 {
	own, weight, total := 0, g.weightOf(r.Weight), g.weight
	if t, ok := g.teams[r.Team]; !ok || t.oldest.len() == 0 {
		total += weight
	} else {
		weight, own = t.weight, t.olderThan(r)
	}
	return min(float64(g.waiting), float64(own+1)*total/weight-1)
}
