package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	VerdictLife  = 2 * time.Second        // age at which a charge counts no more
	chargeSpan   = 700 * time.Millisecond // within which witnesses have to agree: a fleet's odd long requests come further apart
	witnessMost  = 4                      // independent witnesses that are enough in any fleet
	witnessPart  = 0.2                    // part of the live nodes that is enough in a small one
	witnessLeast = 2                      // and the least: one alone may have a bad link of its own
	chargedMost  = 0.34                   // part of the servers: a node that speaks against more has itself to blame
	chargesKept  = 64                     // servers charged that are remembered
	chargesMost  = 30                     // in a message
)

// Server is a rating server's process as all nodes name it: a key of its name, and of its start.
type Server struct {
	Key  uint64
	Boot uint64 // ms; a server that started anew is another
}

func cmpServer(a, b Server) int {
	return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Boot, b.Boot))
}

func cmpWord(a, b word) int {
	return cmp.Or(cmpServer(a.server, b.server), cmp.Compare(a.node, b.node))
}

// Charge is one node's word that an attempt of its own was far slower at a server than is usual.
type Charge struct {
	_    struct{} `cbor:",toarray"`
	Key  uint64
	Boot uint64
	Node int    // the witness
	Age  uint32 // ms
}

// Verdict is what the charges against a server come to: enough witnesses that agree.
type Verdict struct {
	Server    Server
	Witnesses int
	At        time.Duration // when the last of them spoke
}

// word is a charge by the server and witness that it is of.
type word struct {
	server Server
	node   int
}

// court is what one node knows of charges, its own and others'.
type court struct {
	charges map[Server]map[int]time.Duration
	news    map[Server]bool // charged anew since Verdicts
}

func newCourt() court {
	return court{charges: make(map[Server]map[int]time.Duration), news: make(map[Server]bool)}
}

// Charge speaks against a server: an attempt of this node's own there takes far longer than is usual.
func (x *Exchange) Charge(now time.Duration, s Server) {
	x.Counts.Charges++
	x.court.hear(word{s, x.cfg.Self}, now)
	x.up.charge(word{s, x.cfg.Self}, now)
	x.beatAt = min(x.beatAt, now+batch)
	x.wakeBy(max(x.beatAt, x.quietUntil))
}

// hear remembers a charge, newer than the last of its witness.
func (c *court) hear(w word, when time.Duration) {
	by := c.charges[w.server]
	if by == nil {
		if len(c.charges) >= chargesKept {
			c.forget(when)
		}
		by = make(map[int]time.Duration)
		c.charges[w.server] = by
	}
	if old, ok := by[w.node]; !ok || when > old {
		by[w.node] = when
		c.news[w.server] = true
	}
}

// forget drops charges that count no more, and where none does, all of one server.
func (c *court) forget(now time.Duration) {
	for s, by := range c.charges {
		maps.DeleteFunc(by, func(_ int, when time.Duration) bool { return now > when+VerdictLife })
		if len(by) == 0 {
			delete(c.charges, s)
			delete(c.news, s)
		}
	}
	for s := range c.charges {
		if len(c.charges) < chargesKept {
			return
		}
		delete(c.charges, s)
		delete(c.news, s)
	}
}

// Verdicts gives the servers against which enough witnesses have spoken since it was asked last, of
// some number of servers. A single witness is none.
func (x *Exchange) Verdicts(now time.Duration, servers int) (out []Verdict) {
	c := &x.court
	if len(c.news) == 0 {
		return nil
	}
	enough := int(math.Ceil(math.Min(witnessMost, math.Max(witnessLeast, witnessPart*float64(len(x.nodes))))))
	for _, s := range slices.SortedFunc(maps.Keys(c.news), cmpServer) {
		n, last := 0, time.Duration(0)
		for _, when := range c.charges[s] {
			last = max(last, when)
		}
		for node, when := range c.charges[s] {
			if when+chargeSpan >= last && last+VerdictLife >= now && c.speaksOf(node, now) <= math.Max(1, chargedMost*float64(servers)) {
				n++
			}
		}
		if n >= enough {
			x.Counts.Verdicts++
			out = append(out, Verdict{s, n, last})
		}
	}
	clear(c.news)
	return out
}

// speaksOf counts the servers that a witness speaks against now.
func (c *court) speaksOf(node int, now time.Duration) (n float64) {
	for _, by := range c.charges {
		if when, ok := by[node]; ok && now <= when+VerdictLife {
			n++
		}
	}
	return n
}
