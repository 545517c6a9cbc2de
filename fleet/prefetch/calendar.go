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
	maxWindows       = 32 // windows of one site
	maxWindowLength  = 24 * time.Hour
	maxPeriod        = 366 * 24 * time.Hour
	maxYear          = 2200 // a year well before 2262, in which Unix time in ns overflows an int64
	maxCalendarBytes = 64 << 10
	maxMergeSteps    = 4 * maxWindows // steps of merging overlapping windows into one outage
)

// Window is a single or recurring time without the uplink of a site.
type Window struct {
	FirstStart    time.Time `toml:"first"`   // start of the first occurrence
	LengthSeconds float64   `toml:"for_s"`   // length of each occurrence, s
	PeriodSeconds float64   `toml:"every_s"` // time from one start to the next, s; 0 means a single occurrence
	Probability   float64   `toml:"sure"`    // probability that the link is lost, from 0 to 1; 0 means 1
}

// Site is an edge site with planned outages of its uplink.
type Site struct {
	Nodes   []string // names of its edge nodes
	Windows []Window
}

// Calendar holds the sites with planned outages, by site name.
type Calendar map[string]Site

// Outage is a planned time without the uplink. Overlapping windows form one outage.
type Outage struct {
	Start, End  time.Duration // fleet time
	Probability float64       // highest probability among its windows
}

// Length returns the duration of the outage.
func (o Outage) Length() time.Duration { return o.End - o.Start }

// ParseCalendar decodes and validates the calendar of a rule set, a TOML document with a table for each
// site. The error is a *CalendarError, which names the key.
func ParseCalendar(text []byte) (Calendar, error) {
	if len(text) > maxCalendarBytes {
		return nil, &CalendarError{Key: "document", Reason: fmt.Sprintf("%d bytes, at most %d are allowed", len(text), maxCalendarBytes)}
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

// Validate returns a *CalendarError for the first invalid value, with sites in the order of their names.
func (c Calendar) Validate() error {
	if len(c) > maxSites {
		return &CalendarError{Key: "sites", Reason: fmt.Sprintf("%d sites, at most %d are allowed", len(c), maxSites)}
	}
	siteByNode := map[string]string{}
	for _, name := range slices.Sorted(siteNames(c)) {
		site := c[name]
		if len(site.Nodes) == 0 {
			return &CalendarError{name, "nodes", "the site has no nodes"}
		}
		for _, node := range site.Nodes {
			if siteByNode[node] != "" {
				return &CalendarError{name, "nodes", fmt.Sprintf("%q is also in site %q", node, siteByNode[node])}
			}
			siteByNode[node] = name
		}
		if len(site.Windows) > maxWindows {
			return &CalendarError{name, "windows", fmt.Sprintf("%d windows, at most %d are allowed", len(site.Windows), maxWindows)}
		}
		for i, w := range site.Windows {
			key := func(field string) string { return fmt.Sprintf("windows.%d.%s", i, field) }
			switch length, period := w.length(), w.period(); {
			case w.FirstStart.Year() < 1970 || w.FirstStart.Year() > maxYear:
				return &CalendarError{name, key("first"), fmt.Sprintf("the year is not in 1970 to %d", maxYear)}
			case !(w.LengthSeconds > 0) || w.LengthSeconds > maxWindowLength.Seconds():
				return &CalendarError{name, key("for_s"), fmt.Sprintf("%g is not greater than 0 and at most %g", w.LengthSeconds, maxWindowLength.Seconds())}
			case !(w.PeriodSeconds >= 0) || w.PeriodSeconds > maxPeriod.Seconds() || (period > 0 && period <= length):
				return &CalendarError{name, key("every_s"), fmt.Sprintf("%g is neither 0 nor greater than for_s and at most %g", w.PeriodSeconds, maxPeriod.Seconds())}
			case !(w.Probability >= 0 && w.Probability <= 1):
				return &CalendarError{name, key("sure"), fmt.Sprintf("%g is not in 0 to 1", w.Probability)}
			}
		}
	}
	return nil
}

// siteNames returns an iterator over the names of a calendar's sites.
func siteNames(c Calendar) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range c {
			if !yield(name) {
				return
			}
		}
	}
}

// SiteOf returns the site that lists a node and its name. ok is false if none does.
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

// next returns the window's first occurrence that ends after a fleet time.
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

// Next returns the first outage that ends after a fleet time. Windows that overlap, or of which one starts
// at most gap after another ends, form one outage, which is cut to maxWindowLength. ok is false if the
// calendar has no later outage.
func (s Site) Next(at, gap time.Duration) (next Outage, ok bool) {
	for _, w := range s.Windows {
		if candidate, found := w.next(at); found && (!ok || candidate.Start < next.Start) {
			next, ok = candidate, true
		}
	}
	for range maxMergeSteps {
		extended := false
		for _, w := range s.Windows {
			// An occurrence extends the outage if it starts at most gap after the outage's end and ends later.
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
