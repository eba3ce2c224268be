package direct

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

const (
	startWork   = 100 * time.Millisecond // of a kind that has not been seen
	workWeight  = 0.05                   // of a new sample in an average
	sureSamples = 20                     // from which an average is relied on
	startCrowd  = 1.2                    // of a service whose last slots have not been used
)

// workload is the usual service time of a request kind: the average of its
// completions, each divided by the endpoint's pace when it was chosen. The pace
// at the start decides the whole work.
type workload struct {
	usual   float64 // nanoseconds
	samples int
}

func (w workload) with(sample float64) workload {
	w.samples++
	w.usual += max(workWeight, 1/float64(w.samples)) * (sample - w.usual)
	return w
}

// crowding is how much longer work takes on the last free slot of a service's
// endpoints than on others.
type crowding struct {
	factor  float64
	samples int
}

func (c crowding) with(sample float64) crowding {
	if c.samples == 0 {
		c.factor = startCrowd
	}
	c.samples++
	c.factor += workWeight * (sample - c.factor)
	return c
}

// usual returns the usual service time of a kind; f.mu is held.
func (f *Chooser) usual(kind string) time.Duration {
	w, ok := f.work[kind]
	if !ok {
		return startWork
	}
	return time.Duration(w.usual)
}

// crowded returns a service's factor of its last slots; f.mu is held.
func (f *Chooser) crowded(service string) float64 {
	c, ok := f.crowds[service]
	if !ok {
		return startCrowd
	}
	return c.factor
}

// learn takes in the time of a completion; f.mu is held.
func (f *Chooser) learn(g placement.Grant, took time.Duration, slots int) {
	pace := g.Choice.Pace
	if pace <= 0 {
		return // without a report the time says nothing about the kind
	}
	sample := float64(took) / pace
	switch {
	case g.Choice.Busy < slots:
		f.work[g.Kind] = f.work[g.Kind].with(sample)
	case g.Choice.Busy == slots && f.work[g.Kind].samples >= sureSamples:
		service := serviceOf(g.Service)
		f.crowds[service] = f.crowds[service].with(sample / f.work[g.Kind].usual)
	}
}

// ratio compares a completion with what the kind usually takes; f.mu is held.
func (f *Chooser) ratio(kind string, took time.Duration) float64 {
	w := f.work[kind]
	if w.samples < sureSamples || w.usual <= 0 {
		return 1
	}
	return float64(took) / w.usual
}
