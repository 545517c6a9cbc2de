package prefetch

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The same draws in each run, so that the verdict is the same; -rapid.seed gives others.
func init() { _ = flag.Set("rapid.seed", "1") }

// lending is one owner, one edge and what is between them. Both spend all that they may at once.
type lending struct {
	now              time.Duration
	ledger           *Ledger
	level            float64 // of the owner's store
	given            float64 // by both, in all
	stale            float64 // of that, by an edge that a disk told less than was gone
	seq              uint32
	life             uint64
	purse            *Purse
	asked, answered  time.Duration
	disk, older      *Kept
	air              []any
	twice, fromReply bool // planted
}

const (
	lentDepth, lentRate, lentSpan = 8.0, 1.0, 8 * time.Second
)

type question ID

type giveBack struct {
	id      ID
	unspent float64
}

func newLending() *lending {
	l := &lending{ledger: NewLedger(7, 0), level: lentDepth, life: 1}
	l.ask()
	return l
}

func (l *lending) ask() {
	l.seq++
	l.asked = l.now
	l.air = append(l.air, question{0, l.life, l.seq})
}

// pass lets time pass, and the owner and the edge spend what they have.
func (l *lending) pass(span time.Duration) {
	l.now += span
	l.level = math.Min(lentDepth, l.level+lentRate*span.Seconds()-l.ledger.Accrue(l.now))
	l.given += l.level / 2
	l.level /= 2
	l.spend()
}

func (l *lending) spend() {
	if l.purse == nil {
		return
	}
	if mark, ok := l.purse.Want(l.now, 2); ok {
		l.older = l.disk
		k := l.purse.Keep(mark, l.asked, l.answered, l.now)
		l.disk = &k
		l.purse.Cover(mark)
	}
	if units := math.Max(0, l.purse.Level(l.now)) / 2; l.purse.Spend(l.now, units) {
		l.given += units
	}
}

func (l *lending) deliver(i int, keep bool) {
	m := l.air[i]
	if !keep {
		l.air = append(l.air[:i:i], l.air[i+1:]...)
	}
	switch m := m.(type) {
	case question:
		l.level -= l.ledger.Accrue(l.now)
		loan, take, err := l.ledger.Lend(l.now, ID(m), Part{3, 3, 0.5}, lentSpan, Part{l.level, lentDepth, lentRate})
		if l.level -= take; err == nil {
			l.air = append(l.air, loan)
		}
	case Loan:
		if l.purse != nil || m.ID.Seq != l.seq || m.ID.Life != l.life {
			return
		}
		from := l.asked
		if l.fromReply {
			from = l.now
		}
		l.answered, l.purse = l.now, Open(m, from, l.now, 0)
		l.spend()
	case giveBack:
		l.level -= l.ledger.Accrue(l.now)
		if l.twice {
			clear(l.ledger.closed)
			l.ledger.loans = append(l.ledger.loans, owed{Loan{ID: m.id, Part: Part{3, 3, 0.5}}, 0, l.now + 1})
		}
		put := l.ledger.Return(l.now, m.id, m.unspent)
		l.level = math.Min(lentDepth, l.level+put)
	}
}

// choose makes one choice of those there are; false is that there are no more.
func (l *lending) choose(c int) bool {
	switch {
	case c == 0:
		l.pass(3 * time.Second)
	case c == 1: // the edge dies and starts from its disk
		l.restart(l.disk)
	case c == 2: // or from what that was before
		if l.older != nil && l.purse != nil {
			l.stale += math.Max(0, l.purse.spent-l.older.Gone)
		}
		l.restart(l.older)
	case c == 3: // the link is back
		if l.purse != nil {
			l.air = append(l.air, giveBack{l.purse.ID(), l.purse.Close(l.now)})
			l.purse, l.disk, l.older = nil, nil, nil
			l.ask()
		}
	case c < 4+3*min(2, len(l.air)):
		i := 0
		if c >= 7 {
			i = len(l.air) - 1
		}
		switch (c - 4) % 3 {
		case 0:
			l.deliver(i, false)
		case 1:
			l.deliver(i, true)
		case 2:
			l.air = append(l.air[:i:i], l.air[i+1:]...)
		}
	default:
		return false
	}
	return true
}

func (l *lending) restart(from *Kept) {
	l.life++
	l.purse = nil
	if from != nil {
		if p, err := Reopen(*from, l.now, l.now, 0); err == nil {
			l.purse = p
			l.spend()
			return
		}
	}
	l.ask()
}

// Whatever is lost, doubled, late or starts anew, owner and edge together give no more than the
// store's depth, its rate and the depth that is lent; a disk that tells of less than was gone gives that much again and no
// more. Planted bugs are found.
func TestEveryOrderOfLending(t *testing.T) {
	explore := func(depth int, plant func(*lending)) (states int, worst float64) {
		var walk func(done []int)
		walk = func(done []int) {
			for c := 0; ; c++ {
				l := newLending()
				plant(l)
				for _, d := range done {
					l.choose(d)
				}
				if !l.choose(c) {
					return
				}
				states++
				worst = math.Max(worst, l.given+l.level-l.stale-lentDepth-lentRate*l.now.Seconds())
				if len(done)+1 < depth {
					walk(append(done[:len(done):len(done)], c))
				}
			}
		}
		walk(nil)
		return states, worst
	}
	states, worst := explore(6, func(*lending) {})
	t.Logf("%d states, %g over", states, worst)
	assert.LessOrEqual(t, worst, 1e-9)
	_, worst = explore(6, func(l *lending) { l.twice = true })
	assert.Greater(t, worst, 0.5, "units given back twice are not found")
}

// A loan ends at the edge before it does at its owner, whichever way the clocks drift and however
// long the answer takes; counted from the answer it would not.
func TestLoansEndAtTheEdgeFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "asked"))
		there := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "there"))
		back := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "back"))
		span := time.Duration(rapid.Int64Range(int64(time.Second), int64(LoanMost)).Draw(t, "span"))
		slow := rapid.Float64Range(-driftMost, driftMost).Draw(t, "slow")
		l := NewLedger(1, 0)
		loan, _, err := l.Lend(asked+there, ID{0, 1, 1}, Part{1, 1, 0}, span, Part{10, 10, 1})
		require.NoError(t, err)
		p := Open(loan, asked, asked+there+back, 10)
		// The edge's clock runs slow from the question on, the owner's fast.
		ends := asked + time.Duration(float64(p.end-asked)*(1+slow))
		owner := asked + there + time.Duration(float64(l.loans[0].end-asked-there)*(1-driftMost))
		if ends > owner+time.Microsecond {
			t.Fatalf("the edge has it until %v, the owner counts until %v", ends, owner)
		}
	})
}

// A store lends half of what it has and of its rate at most, whoever asks; old and improper
// questions get nothing.
func TestLedgerIsBounded(t *testing.T) {
	l, level := NewLedger(1, 0), 100.0
	for e := range 3 * loansMost {
		_, take, _ := l.Lend(0, ID{e, 1, 1}, Part{1000, 1, 1000}, time.Minute, Part{level, 100, 20})
		level -= take
	}
	assert.LessOrEqual(t, l.Out(), loansMost)
	assert.LessOrEqual(t, l.out().Rate, lentPart*20)
	assert.LessOrEqual(t, l.out().Depth, lentPart*100)
	assert.Zero(t, l.Return(0, ID{0, 2, 1}, 5), "of a loan that there is none")
	assert.Positive(t, l.Return(0, ID{1, 1, 1}, 5))
	_, _, err := l.Lend(0, ID{1, 1, 1}, Part{1, 1, 0}, time.Minute, Part{level, 100, 20})
	var e *LoanError
	require.ErrorAs(t, err, &e, "a late question")
	_, _, err = l.Lend(0, ID{2, 9, 1}, Part{Units: math.NaN()}, time.Minute, Part{level, 100, 20})
	require.ErrorAs(t, err, &e)
	assert.InDelta(t, lentPart*20*60, l.Accrue(2*time.Minute), 20*60*0.01)
	assert.Zero(t, l.Out(), "void after their end")
	for name, k := range map[string]Kept{
		"ended":  {Loan: Loan{Part: Part{Units: 1}, Left: time.Second}, Asked: 0},
		"behind": {Loan: Loan{Part: Part{Units: 1}, Left: time.Hour}, Asked: 0, Written: time.Hour},
		"spoilt": {Loan: Loan{Part: Part{Units: math.NaN()}, Left: time.Hour}},
	} {
		_, err := Reopen(k, 0, time.Minute, 30*time.Second)
		var v *VoidError
		assert.ErrorAs(t, err, &v, name)
	}
}
