// Package capacity measures how the cost of each part grows and works out what
// it costs at today's size and at that of two years.
//
// # Usage
//
//	report := capacity.Measure()
//	capacity.WriteMarkdown(os.Stdout, report)
//
// "lotusctl experiment capacity" rewrites the tables of docs/CAPACITY.md.
package capacity

import (
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Point is one measurement: a cost at a size.
type Point struct {
	Size float64
	Cost float64
}

// Line is cost = Base + Slope*size, fitted by least squares.
type Line struct {
	Base, Slope float64
	Error       float64 // largest distance of a point from the line, as a share of its cost
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the line through points.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Cost
		sxx += p.Size * p.Size
		sxy += p.Size * p.Cost
	}
	var l Line
	if d := n*sxx - sx*sx; d != 0 {
		l.Slope = (n*sxy - sx*sy) / d
	}
	l.Base = (sy - l.Slope*sx) / n
	for _, p := range points {
		if p.Cost > 0 {
			l.Error = max(l.Error, math.Abs(l.At(p.Size)-p.Cost)/p.Cost)
		}
	}
	return l
}

const (
	repeats = 5 // of a timing; the median counts
	runFor  = 40 * time.Millisecond
)

// cpuPer returns the processor time of one call of f in nanoseconds, all
// threads of the process included.
func cpuPer(f func()) float64 {
	var samples []float64
	for range repeats {
		begin, cpu := time.Now(), processorTime()
		n := 0
		for time.Since(begin) < runFor {
			for range 16 {
				f()
			}
			n += 16
		}
		samples = append(samples, float64(processorTime()-cpu)/float64(n))
	}
	slices.Sort(samples)
	return samples[repeats/2]
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("capacity: unreachable: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryOf returns the heap bytes that what make returns takes.
func memoryOf(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
