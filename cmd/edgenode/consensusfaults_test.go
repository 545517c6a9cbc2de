package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sloestile/fleet/rules"
	"sloestile/internal/store/disk/faulty"
	"sloestile/internal/testbed/faultlink"
)

var (
	faultRuns = flag.Int("plays", 2, "number of runs of the consensus group with random faults")
	firstSeed = flag.Uint64("playseed", 1, "seed of the first run")
)

// Operators publish, activate and read rule versions at any node, while random faults occur: processes are killed,
// paused or partitioned, folders are lost or corrupt, and disks lose fsyncs, fail or stall. For more runs:
//
//	go test ./cmd/edgenode -run CouncilRandomFaults -plays 300 -timeout 3h
func TestCouncilRandomFaults(t *testing.T) {
	t.Parallel()
	for i := range *faultRuns {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if *faultRuns <= 4 {
				t.Parallel()
			}
			runRandomFaults(t, seed)
		})
	}
}

// runRandomFaults does one run: load, operators and four random faults, then checks of versions and calls.
func runRandomFaults(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x636f756e))
	voters := 3 + 2*int(seed%2)
	f := newConsensusFleet(t, voters, voters+2)
	h := newOperationHistory(f)
	ctx, stop := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	for i := range f.nodes {
		workers.Go(func() { f.sendRequests(ctx, i) })
	}
	for client := range 2 {
		clientRNG := rand.New(rand.NewPCG(seed, uint64(client)))
		workers.Go(func() { h.runOperator(ctx, client, clientRNG) })
	}
	f.waitForLeader(0, 1, 2, 3, 4)
	for n := range 4 {
		f.injectRandomFault(rng, voters, fmt.Sprint(seed, " ", n))
	}
	all := make([]int, len(f.nodes))
	for i := range all {
		all[i] = i
		if i < voters {
			f.waitForVoter(i)
		}
	}
	stop()
	workers.Wait()
	last := f.callUntilOK(0, "back", url.Values{"to": {fmt.Sprint(f.publish(len(all)-1, 1000+int(seed)))}, "kind": {"exclusive"}}, "")
	h.kinds[last] = "exclusive"
	f.waitForVersion(last, 15*time.Second, all...)
	s := f.status(f.waitForLeader(all...))
	require.NotNil(t, s)
	require.NotNil(t, s.Council)
	require.Len(t, s.Council.Versions, int(s.Council.Newest))
	digests, numbers := map[uint64]string{}, map[string]uint64{}
	for _, v := range s.Council.Versions {
		digests[v.Number], numbers[v.Digest] = v.Digest, v.Number
	}
	for n, text := range h.texts {
		assert.Equal(t, rules.DigestOf([]byte(text)).String(), digests[n], "published version %d changed or is missing", n)
	}
	h.checkLinearizable(t, numbers)
	f.requests.checkVersionOrder(t, h.kinds)
}

// runOperator publishes, activates and mostly reads at random nodes until ctx ends.
func (h *operationHistory) runOperator(ctx context.Context, client int, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		at := rng.IntN(len(h.f.nodes))
		text := fmt.Sprintf("# %d %d\n[plans.basic]\nprice = 1.5\n", client, n)
		if n < 80 && rng.IntN(3) == 0 { // stays below 100 versions, the maximum in a status
			if number := h.publish(client, at, text); number != 0 {
				kind := []string{"overlap", "exclusive"}[rng.IntN(2)]
				h.mu.Lock()
				h.kinds[number] = kind
				h.mu.Unlock()
				h.f.call(rng.IntN(len(h.f.nodes)), "activate", url.Values{"number": {fmt.Sprint(number)}, "kind": {kind}}, "")
			}
		} else {
			h.read(client, at)
		}
		select {
		case <-time.After(time.Duration(50+rng.IntN(400)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// injectRandomFault injects one random fault, half of the time at the leader, else at any node. It returns when the
// fault has ended and, if it hit a voter, all voters vote again: the consensus group tolerates one disk with lost
// fsyncs at a time.
func (f *consensusFleet) injectRandomFault(rng *rand.Rand, voters int, runName string) {
	i := rng.IntN(len(f.nodes))
	if rng.IntN(2) == 0 {
		i = f.waitForLeader(0, 1, 2, 3, 4)
	}
	pause := time.Duration(200+rng.IntN(2500)) * time.Millisecond
	kind := rng.IntN(8)
	f.t.Logf("%s: fault %d at %s for %v", runName, kind, f.nodes[i].name, pause)
	node := f.nodes[i]
	switch kind {
	case 0: // crash
		f.kill(i)
		time.Sleep(pause)
		f.start(i)
	case 1: // pause
		f.signal(i, syscall.SIGSTOP)
		time.Sleep(2 * pause)
		f.signal(i, syscall.SIGCONT)
	case 2: // network fault
		end := f.injectNetworkFault(i, []faultlink.Trouble{{Drop: true}, {Drop: true, Up: true}, {Reset: true}, {Stall: true}, {Delay: pause / 4}}[rng.IntN(5)])
		time.Sleep(2 * pause)
		end()
	case 3: // crash with loss of the folder
		f.kill(i)
		time.Sleep(pause)
		require.NoError(f.t, os.RemoveAll(node.consensusDir))
		f.start(i)
	case 4: // crash with a flipped bit in a file
		f.kill(i)
		f.flipBit(rng, node.consensusDir)
		f.start(i)
	case 5: // lost fsyncs, then a power loss
		require.NoError(f.t, faulty.SetFaults(node.faultDir, faulty.Faults{LostFsyncs: true}))
		time.Sleep(pause)
		f.kill(i)
		_, err := faulty.SimulatePowerLoss(node.faultDir, faulty.PowerLoss{})
		require.NoError(f.t, err)
		require.NoError(f.t, faulty.SetFaults(node.faultDir, faulty.Faults{}))
		f.start(i)
	case 6: // errors of the disk, or a stall
		x := []faulty.Faults{{ErrorFraction: 0.5, Seed: rng.Uint64()}, {Stalled: true}, {ReadOnly: true}, {Full: true}}[rng.IntN(4)]
		require.NoError(f.t, faulty.SetFaults(node.faultDir, x))
		time.Sleep(2 * pause)
		require.NoError(f.t, faulty.SetFaults(node.faultDir, faulty.Faults{}))
	case 7: // crash of a majority of the voters, or of all
		n := voters/2 + 1 + rng.IntN(voters/2+1)
		for j := range n {
			f.kill(j)
		}
		time.Sleep(pause)
		for j := range n {
			f.start(j)
		}
	}
	if i < voters || kind == 7 {
		for j := range voters {
			f.waitForVoter(j)
		}
	}
}

// flipBit flips a random bit in one of the files in dir.
func (f *consensusFleet) flipBit(rng *rand.Rand, dir string) {
	var names []string
	for _, n := range []string{"log", "meta", "snapshot", "acted"} {
		if s, err := os.Stat(filepath.Join(dir, n)); err == nil && s.Size() > 0 {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return
	}
	name := filepath.Join(dir, names[rng.IntN(len(names))])
	raw, err := os.ReadFile(name)
	require.NoError(f.t, err)
	raw[rng.IntN(len(raw))] ^= 1 << rng.IntN(8)
	require.NoError(f.t, os.WriteFile(name, raw, 0o600))
}

// A node without [council] in its fleet file has no consensus calls on its console and no consensus folder.
func TestCouncilDisabled(t *testing.T) {
	f := newConsensusFleet(t, 3, 3)
	f.kill(0)
	file := filepath.Join(filepath.Dir(f.nodes[0].consensusDir), "fleet.toml")
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	_, peers, _ := strings.Cut(string(raw), "[peers]")
	require.NoError(t, os.WriteFile(file, []byte("[peers]"+peers), 0o600))
	require.NoError(t, os.RemoveAll(f.nodes[0].consensusDir))
	f.start(0)
	require.Eventually(t, func() bool {
		resp, err := consoleClient.Get("http://" + f.nodes[0].consoleAddr + "/metrics")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	status, _ := f.call(0, "publish", nil, "")
	require.Equal(t, http.StatusNotFound, status)
	require.NoDirExists(t, f.nodes[0].consensusDir)
}
