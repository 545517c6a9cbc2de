package process

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/internal/testbed/scale"
)

// One late send of a thousand is borne, two are not, over all loads of a point.
func TestLatenessIsHeldOverAllLoads(t *testing.T) {
	load := func(late int) *loadResult {
		r := &loadResult{}
		for i := range 500 {
			lag := lateSend
			if i < late {
				lag = 2 * lateSend
			}
			r.add(lag, 0, "")
		}
		return r
	}
	require.NoError(t, load(1).lateness("x", load(0)))
	var late *scale.LateError
	require.ErrorAs(t, load(1).lateness("x", load(1)), &late)
	assert.Equal(t, scale.LateError{Sweep: "x", Lag: 2 * lateSend, Most: lateSend}, *late)
	require.ErrorAs(t, load(1).lateness("x"), &late, "one of 500 is more than one of 1,000")
}

func TestRefusalsAreFound(t *testing.T) {
	r := &loadResult{}
	for range 95 {
		r.add(0, time.Millisecond, "")
	}
	for range 5 {
		r.add(0, 0, "503 Service Unavailable")
	}
	require.NoError(t, r.refusals(0.95))
	r.add(0, 0, "429 Too Many Requests")
	var refused *RefusedError
	require.ErrorAs(t, r.refusals(0.95), &refused)
	assert.Equal(t, RefusedError{Served: 95, Sent: 101, Last: "429 Too Many Requests"}, *refused)
}

func TestQuantile(t *testing.T) {
	var all []time.Duration
	assert.Zero(t, quantile(all, 0.5))
	for i := 100; i > 0; i-- {
		all = append(all, time.Duration(i))
	}
	assert.Equal(t, time.Duration(50), quantile(all, 0.5))
	assert.Equal(t, time.Duration(99), quantile(all, 0.99))
	assert.Equal(t, time.Duration(100), quantile(all, 1))
}

func TestFiguresAreRead(t *testing.T) {
	figures, err := readFigures(strings.NewReader("# HELP a b\n# TYPE a counter\na 3\nb{tier=\"x y\"} 2.5\n\n"))
	require.NoError(t, err)
	assert.Equal(t, map[string]float64{"a": 3, `b{tier="x y"}`: 2.5}, figures)
	_, err = readFigures(strings.NewReader("a three\n"))
	require.Error(t, err)
}

// A tenant's requests come through its own nodes, all of them.
func TestRequestsComeThroughTheTenantsNodes(t *testing.T) {
	nodes := []*edgeNode{{listen: "a"}, {listen: "b"}, {listen: "c"}, {listen: "d"}}
	through := nodeOf(nodes)
	seen := map[string]bool{}
	for x := 0.0; x < 1; x += 0.125 {
		seen[through(tenant{spread: 2, first: 3}, x)] = true
	}
	assert.Equal(t, map[string]bool{"d": true, "a": true}, seen)
}

// Two benches have different blocks of addresses, and a block is free again at the end.
func TestBenchesHaveBlocksOfTheirOwn(t *testing.T) {
	one, err := newBench(nil, fullSpans)
	require.NoError(t, err)
	two, err := newBench(nil, fullSpans)
	require.NoError(t, err)
	defer two.close()
	assert.NotEqual(t, one.block, two.block)
	one.close()
	again, err := newBench(nil, fullSpans)
	require.NoError(t, err)
	defer again.close()
	assert.NotEqual(t, two.block, again.block)
}
