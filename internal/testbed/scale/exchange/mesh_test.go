package exchange

import (
	"testing"

	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"
)

// The overhead that is added to each message of the exchange is what the library puts around one, by its
// own hand.
func TestDatagramOverheadIsTheLibrarys(t *testing.T) {
	m := newMesh()
	var both [2]*hollowMember
	for i := range both {
		h, err := newMember(m, memberConfig{index: i, meta: []byte("meta")})
		require.NoError(t, err)
		defer func() { _ = h.Shutdown() }()
		both[i] = h
	}
	require.NoError(t, both[1].join(both[0]))
	var to *memberlist.Node
	for _, n := range both[1].Members() {
		if n.Name == memberName(0) {
			to = n
		}
	}
	require.NotNil(t, to)
	message := make([]byte, 200)
	require.NoError(t, both[1].SendBestEffort(to, message))
	require.EqualValues(t, len(message)+datagramOverhead, both[1].end.counts.gossipBytes.Load())
}

// A member that is gone gets nothing, and the others go on.
func TestMeshLosesWhatIsForNobody(t *testing.T) {
	m := newMesh()
	a, b := m.open(0), m.open(1)
	_, err := a.WriteTo([]byte("packet"), b.address.String())
	require.NoError(t, err)
	require.Len(t, b.packets, 1)
	require.NoError(t, b.Shutdown())
	_, err = a.WriteTo([]byte("packet"), b.address.String())
	require.NoError(t, err)
	require.Len(t, b.packets, 1)
	_, err = a.DialTimeout(b.address.String(), 0)
	require.Error(t, err)
}
