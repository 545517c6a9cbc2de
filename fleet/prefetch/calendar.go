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
	sitesMost   = 256
	windowsMost = 32 // of a site
	lengthMost  = 24 * time.Hour
	periodMost  = 366 * 24 * time.Hour
	yearMost    = 2200 // Unix time in ns overflows in 2262
	bytesMost   = 64 << 10
	seenMost    = 4 * windowsMost // windows that are looked at to find the next
)

// Window is a time for which a site's link is gone, once or again and again.
type Window struct {
	First time.Time `toml:"first"`   // begin
	ForS  float64   `toml:"for_s"`   // length, s
	EachS float64   `toml:"every_s"` // from one begin to the next, s; 0 is once
	Sure  float64   `toml:"sure"`    // how likely it comes, above 0 to 1; 0 is as 1
}

// Site is an edge site whose link goes at known times.
type Site struct {
	Nodes   []string // names of its edge nodes
	Windows []Window
}

// Calendar is when links go, by the site's name.
type Calendar map[string]Site

// Span is a time without the link, from several windows where they overlap.
type Span struct {
	From, To time.Duration // fleet time
	Sure     float64       // the likeliest of its windows
}

// Length is how long the span lasts.
func (s Span) Length() time.Duration { return s.To - s.From }

// ParseCalendar reads the calendar of a rule set: a TOML document with a table for each site. Its
// error is a *CalendarError, which names the key.
func ParseCalendar(text []byte) (Calendar, error) {
	if len(text) > bytesMost {
		return nil, &CalendarError{Key: "document", Reason: fmt.Sprintf("%d bytes, %d are the most", len(text), bytesMost)}
	}
	c := Calendar{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&c); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, &CalendarError{Key: strings.Join(strict.Errors[0].Key(), "."), Reason: "unknown key"}
		}
		return nil, &CalendarError{Key: "document", Reason: strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	return c, c.Check()
}

// Check tells what can't be used.
func (c Calendar) Check() error {
	if len(c) > sitesMost {
		return &CalendarError{Key: "sites", Reason: fmt.Sprintf("%d, %d are the most", len(c), sitesMost)}
	}
	of := map[string]string{}
	for _, name := range slices.Sorted(mapKeys(c)) {
		site := c[name]
		if len(site.Nodes) == 0 {
			return &CalendarError{name, "nodes", "there are none"}
		}
		for _, n := range site.Nodes {
			if of[n] != "" {
				return &CalendarError{name, "nodes", fmt.Sprintf("%q is in site %q as well", n, of[n])}
			}
			of[n] = name
		}
		if len(site.Windows) > windowsMost {
			return &CalendarError{name, "windows", fmt.Sprintf("%d, %d are the most", len(site.Windows), windowsMost)}
		}
		for i, w := range site.Windows {
			key := func(k string) string { return fmt.Sprintf("windows.%d.%s", i, k) }
			switch length, period := w.length(), w.period(); {
			case w.First.Year() < 1970 || w.First.Year() > yearMost:
				return &CalendarError{name, key("first"), fmt.Sprintf("no time from 1970 to %d", yearMost)}
			case !(w.ForS > 0) || w.ForS > lengthMost.Seconds():
				return &CalendarError{name, key("for_s"), fmt.Sprintf("%g is not above 0 and at most %g", w.ForS, lengthMost.Seconds())}
			case !(w.EachS >= 0) || w.EachS > periodMost.Seconds() || (period > 0 && period <= length):
				return &CalendarError{name, key("every_s"), fmt.Sprintf("%g is neither 0 nor over for_s and at most %g", w.EachS, periodMost.Seconds())}
			case !(w.Sure >= 0 && w.Sure <= 1):
				return &CalendarError{name, key("sure"), fmt.Sprintf("%g is no part of 1", w.Sure)}
			}
		}
	}
	return nil
}

func mapKeys(c Calendar) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range c {
			if !yield(k) {
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

func (w Window) length() time.Duration { return time.Duration(w.ForS * float64(time.Second)) }

func (w Window) period() time.Duration { return time.Duration(w.EachS * float64(time.Second)) }

// next gives the window's first occurrence that ends after at.
func (w Window) next(at time.Duration) (Span, bool) {
	sure := w.Sure
	if sure == 0 {
		sure = 1
	}
	from := time.Duration(w.First.UnixNano())
	if p := w.period(); p > 0 && at > from {
		from += (at - from) / p * p
		if from+w.length() <= at {
			from += p
		}
	}
	return Span{from, from + w.length(), sure}, from+w.length() > at
}

// Next gives the first time without the link that ends after at; windows that overlap, or follow on
// each other within gap, are one. It lasts lengthMost at most.
func (s Site) Next(at, gap time.Duration) (next Span, ok bool) {
	for _, w := range s.Windows {
		if n, is := w.next(at); is && (!ok || n.From < next.From) {
			next, ok = n, true
		}
	}
	for range seenMost {
		grown := false
		for _, w := range s.Windows {
			// An occurrence that ends later than what there is, and begins no later than it ends.
			n, is := w.next(next.To)
			if is && n.From <= next.To+gap && n.To > next.To {
				next.To, next.Sure, grown = n.To, max(next.Sure, n.Sure), true
			}
		}
		if !grown || next.Length() >= lengthMost {
			break
		}
	}
	if next.Length() > lengthMost {
		next.To = next.From + lengthMost
	}
	return next, ok
}
