package prefetch

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

const (
	maxSites         = 256
	maxWindows       = 32 // of a site
	maxWindowLength  = 24 * time.Hour
	maxPeriod        = 366 * 24 * time.Hour
	maxYear          = 2200 // Unix time in ns overflows in 2262
	maxCalendarBytes = 64 << 10
	maxMergeSteps    = 4 * maxWindows // windows that are looked at to find the next
)

// Window is a time for which a site's link is gone, once or again and again.
type Window struct {
	FirstStart    time.Time `toml:"first"`   // begin
	LengthSeconds float64   `toml:"for_s"`   // length, s
	PeriodSeconds float64   `toml:"every_s"` // from one begin to the next, s; 0 is once
	Probability   float64   `toml:"sure"`    // how likely it comes, above 0 to 1; 0 is as 1
}

// Site is an edge site whose link goes at known times.
type Site struct {
	Nodes   []string // names of its edge nodes
	Windows []Window
}

// Calendar is when links go, by the site's name.
type Calendar map[string]Site

// Span is a time without the link, from several windows where they overlap.
type Outage struct {
	Start, End  time.Duration // fleet time
	Probability float64       // the likeliest of its windows
}

// Length is how long the span lasts.
func (s Outage) Length() time.Duration { return s.End - s.Start }

// ParseCalendar reads the calendar of a rule set: a TOML document with a table for each site. Its
// error is a *CalendarError, which names the key.
func ParseCalendar(text []byte) (Calendar, error) {
	if len(text) > maxCalendarBytes {
		return nil, &CalendarError{Key: "document", Reason: fmt.Sprintf("%d bytes, %d are the most", len(text), maxCalendarBytes)}
	}
	c := Calendar{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&c); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, &CalendarError{Key: strings.Join(strict.Errors[0].Key(), "."), Reason: "unknown key"}
		}
		return nil, &CalendarError{Key: "document", Reason: strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	return c, c.Validate()
}

// Check tells what can't be used.
func (c Calendar) Validate() error {
	if len(c) > maxSites {
		return &CalendarError{Key: "sites", Reason: fmt.Sprintf("%d, %d are the most", len(c), maxSites)}
	}
	siteByNode := map[string]string{}
	for _, name := range slices.Sorted(siteNames(c)) {
		site := c[name]
		if len(site.Nodes) == 0 {
			return &CalendarError{name, "nodes", "there are none"}
		}
		for _, node := range site.Nodes {
			if siteByNode[node] != "" {
				return &CalendarError{name, "nodes", fmt.Sprintf("%q is in site %q as well", node, siteByNode[node])}
			}
			siteByNode[node] = name
		}
		if len(site.Windows) > maxWindows {
			return &CalendarError{name, "windows", fmt.Sprintf("%d, %d are the most", len(site.Windows), maxWindows)}
		}
		for i, w := range site.Windows {
			key := func(field string) string { return fmt.Sprintf("windows.%d.%s", i, field) }
			switch length, period := w.length(), w.period(); {
			case w.FirstStart.Year() < 1970 || w.FirstStart.Year() > maxYear:
				return &CalendarError{name, key("first"), fmt.Sprintf("no time from 1970 to %d", maxYear)}
			case !(w.LengthSeconds > 0) || w.LengthSeconds > maxWindowLength.Seconds():
				return &CalendarError{name, key("for_s"), fmt.Sprintf("%g is not above 0 and at most %g", w.LengthSeconds, maxWindowLength.Seconds())}
			case !(w.PeriodSeconds >= 0) || w.PeriodSeconds > maxPeriod.Seconds() || (period > 0 && period <= length):
				return &CalendarError{name, key("every_s"), fmt.Sprintf("%g is neither 0 nor over for_s and at most %g", w.PeriodSeconds, maxPeriod.Seconds())}
			case !(w.Probability >= 0 && w.Probability <= 1):
				return &CalendarError{name, key("sure"), fmt.Sprintf("%g is no part of 1", w.Probability)}
			}
		}
	}
	return nil
}

func siteNames(c Calendar) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range c {
			if !yield(name) {
				return
			}
		}
	}
}

// SiteOf gives the site of a node, if it is of one.
func (c Calendar) SiteOf(node string) (name string, s Site, ok bool) {
	for name, s := range c {
		if slices.Contains(s.Nodes, node) {
			return name, s, true
		}
	}
	return "", Site{}, false
}

func (w Window) length() time.Duration { return time.Duration(w.LengthSeconds * float64(time.Second)) }

func (w Window) period() time.Duration { return time.Duration(w.PeriodSeconds * float64(time.Second)) }

// next gives the window's first occurrence that ends after at.
func (w Window) next(at time.Duration) (Outage, bool) {
	probability := w.Probability
	if probability == 0 {
		probability = 1
	}
	start := time.Duration(w.FirstStart.UnixNano())
	if period := w.period(); period > 0 && at > start {
		start += (at - start) / period * period
		if start+w.length() <= at {
			start += period
		}
	}
	return Outage{start, start + w.length(), probability}, start+w.length() > at
}

// Next gives the first time without the link that ends after at; windows that overlap, or follow on
// each other within gap, are one. It lasts lengthMost at most.
func (s Site) Next(at, gap time.Duration) (next Outage, ok bool) {
	for _, w := range s.Windows {
		if candidate, found := w.next(at); found && (!ok || candidate.Start < next.Start) {
			next, ok = candidate, true
		}
	}
	for range maxMergeSteps {
		extended := false
		for _, w := range s.Windows {
			// An occurrence that ends later than what there is, and begins no later than it ends.
			candidate, found := w.next(next.End)
			if found && candidate.Start <= next.End+gap && candidate.End > next.End {
				next.End, next.Probability, extended = candidate.End, max(next.Probability, candidate.Probability), true
			}
		}
		if !extended || next.Length() >= maxWindowLength {
			break
		}
	}
	if next.Length() > maxWindowLength {
		next.End = next.Start + maxWindowLength
	}
	return next, ok
}
