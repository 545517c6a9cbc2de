package main

import (
	"net/http"
	"net/url"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// In a fleet of three voters and two learners both kinds of activation reach all nodes, whichever node the operator
// calls. No version is lost when the leader is killed and returns with an empty folder.
func TestCouncil(t *testing.T) {
	t.Parallel()
	f := newConsensusFleet(t, 3, 5)
	all := []int{0, 1, 2, 3, 4}
	one := f.publish(4, 1)
	f.activate(3, one, "overlap")
	t.Logf("first overlapping activation took %v", f.waitForVersion(one, 8*time.Second, all...))
	two := f.publish(2, 2)
	f.activate(1, two, "exclusive")
	t.Logf("exclusive activation took %v", f.waitForVersion(two, 8*time.Second, all...))
	status, text := f.call(3, "publish", nil, "[plans.gold]\nprice = 1.0\n")
	require.Equal(t, http.StatusBadRequest, status, text)
	status, text = f.call(3, "publish", url.Values{"parent": {"1"}}, "")
	require.Equal(t, http.StatusConflict, status, text)

	leader := f.waitForLeader(all...)
	f.kill(leader)
	rest := []int{(leader + 1) % 3, (leader + 2) % 3, 3, 4}
	startedAt := time.Now()
	three := f.publish(4, 3)
	t.Logf("published %v after the leader was killed", time.Since(startedAt))
	f.activate(4, three, "overlap")
	t.Logf("overlapping activation without the old leader took %v", f.waitForVersion(three, 8*time.Second, rest...))
	require.NoError(t, os.RemoveAll(f.nodes[leader].consensusDir))
	f.start(leader)
	s := f.waitForVoter(leader)
	f.waitForVersion(three, 8*time.Second, leader)
	require.NotEmpty(t, s.Voter.Identity)
	rollback := f.callUntilOK(3, "back", url.Values{"to": {"1"}, "kind": {"exclusive"}}, "")
	f.waitForVersion(rollback, 10*time.Second, all...)
}
