package scenario

import (
	"math"
	"math/rand/v2"
	"slices"
)

// nodesIn gives the nodes of a zone; nil is all zones.
func (d *Day) nodesIn(zone *int) (in []int) {
	for i, n := range d.Nodes {
		if zone == nil || n.Zone == *zone {
			in = append(in, i)
		}
	}
	return in
}

// drawLinks draws what links a fault takes: all of those of some nodes, or single ones. Of the link of
// two nodes, either end may be the one whose directions are named.
func (d *Day) drawLinks(x Fault, taken [][]int, share float64, rng *rand.Rand) (nodes []int, links []Link) {
	in := d.nodesIn(x.Zone)
	if x.Same > 0 {
		in = taken[x.Same-1]
	}
	part := func(n int) int { return max(1, int(math.Round(share*float64(n)))) }
	if !x.Pairs && x.Same == 0 {
		rng.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
		in = in[:part(len(in))]
	}
	for _, kind := range x.Links {
		all := d.linksOf(kind, in)
		if x.Pairs {
			rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		}
		if x.Pairs || x.Direction == "" { // then a link is the same from its other end
			seen := map[Link]bool{}
			all = slices.DeleteFunc(all, func(l Link) bool {
				seen[l] = true
				return kind == "peers" && seen[Link{Kind: kind, Node: l.Other, Other: l.Node}]
			})
		}
		if x.Pairs {
			all = all[:part(len(all))]
		}
		for _, l := range all {
			l.Out, l.In = x.Direction != "in", x.Direction != "out"
			links = append(links, l)
		}
	}
	return in, links
}

// linksOf gives the links of a kind that some nodes have.
func (d *Day) linksOf(kind string, nodes []int) (all []Link) {
	for _, n := range nodes {
		switch kind {
		case "peers":
			for m := range d.Nodes {
				if m != n {
					all = append(all, Link{Kind: kind, Node: n, Other: m})
				}
			}
		case "servers":
			for s := range d.Servers {
				all = append(all, Link{Kind: kind, Node: n, Other: s})
			}
		default:
			all = append(all, Link{Kind: kind, Node: n, Other: -1})
		}
	}
	return all
}
