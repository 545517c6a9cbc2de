package process

import (
	"fmt"
	"slices"
)

// Comparison pairs a cost of real processes with that of hollow nodes, which do without sockets, the
// operating system and the rest of the program.
type Comparison struct {
	Real, Hollow string // names of costs
	// Growth compares how much both grow from the smallest size on, as the real cost has a constant
	// part that the hollow one leaves out.
	Growth bool
	Factor float64 // on the hollow figure, where it counts something else
	About  string
}

// Comparisons are those that docs/CAPACITY.md states the ratios of.
func Comparisons() []Comparison {
	return []Comparison{
		{Real: "process/servers/request-cpu", Hollow: "plain/request-cpu", Growth: true, Factor: 1,
			About: "the real figure has new connections, more among more servers, and requests that come while others' data fill the caches"},
		{Real: "process/servers/change-cpu", Hollow: "plain/own-change-cpu", Growth: true, Factor: 1,
			About: "the real node also compares the change with each listed server, and counts those that it avoids"},
		{Real: "process/servers/rss", Hollow: "plain/server-heap", Growth: true, Factor: 1,
			About: "resident memory has the collector's headroom and what the messages of the list took"},
		{Real: "process/servers/start", Hollow: "restart/plain-first-send-cpu", Growth: true, Factor: 1,
			About: "the real figure is time, from exec on, and reads the list twice: with the configuration and from discovery"},
		{Real: "process/subset/rss", Hollow: "subset/server-heap", Growth: true, Factor: 1,
			About: "resident memory has the collector's headroom and what the messages of the list took"},
		{Real: "process/subset/start", Hollow: "restart/subset-first-send-cpu", Growth: true, Factor: 1,
			About: "as of the node that uses all servers"},
		{Real: "process/limits/messages", Hollow: "share-nodes/messages", Factor: 1, About: "sent by a node for shared limits"},
		{Real: "process/limits/bytes-out", Hollow: "share-nodes/bytes-out", Factor: 1, About: "with the headers of IPv4 and UDP"},
		{Real: "process/limits/sharing-cpu", Hollow: "share-nodes/cpu", Factor: 1,
			About: "the real figure has the sockets and a wake-up of the process for each message"},
		{Real: "process/members/exchange-out", Hollow: "membership/full-state", Factor: 1, About: "one direction of a full exchange"},
		{Real: "process/members/exchange-cpu", Hollow: "membership/merge-cpu", Growth: true, Factor: 0.5,
			About: "the hollow figure has both sides of an exchange, and no stream"},
	}
}

// SizeError is a comparison without a size that was measured both ways, or where a hollow figure is
// not above zero.
type SizeError struct {
	Comparison Comparison
	Sizes      []int // measured of the real cost
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s beside %s: none of the sizes %v has both figures; measure both at one size, two where growth is compared",
		e.Comparison.Real, e.Comparison.Hollow, e.Sizes)
}

// Ratios gives the real figure in parts of the hollow one, by size, at sizes that have both. Its error
// is a SizeError.
func (c Comparison) Ratios(real, hollow map[int]float64) (map[int]float64, error) {
	var sizes []int
	for size := range real {
		if _, ok := hollow[size]; ok {
			sizes = append(sizes, size)
		}
	}
	slices.Sort(sizes)
	realBase, hollowBase := 0.0, 0.0
	if c.Growth && len(sizes) > 0 {
		realBase, hollowBase = real[sizes[0]], hollow[sizes[0]]
		sizes = sizes[1:]
	}
	ratios := map[int]float64{}
	for _, size := range sizes {
		if of := c.Factor * (hollow[size] - hollowBase); of > 0 {
			ratios[size] = (real[size] - realBase) / of
		}
	}
	if len(ratios) == 0 {
		return nil, &SizeError{Comparison: c, Sizes: sizes}
	}
	return ratios, nil
}
