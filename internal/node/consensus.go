package node

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sloestile/control"
	"sloestile/fleet/rules"
	"sloestile/internal/config"
	agreement "sloestile/internal/consensus"
	"sloestile/internal/consensus/learner"
	"sloestile/internal/consensus/transport"
	"sloestile/internal/membership"
	"sloestile/internal/store/disk"
)

const (
	learnerDescriptors   = 4                      // descriptors reserved at a learner-only node, to call voters
	voterDescriptors     = 16                     // descriptors reserved at a voter, for its log and learner-only nodes
	descriptorsPerVoter  = 8                      // descriptors reserved at a voter per other voter
	consensusStopTimeout = 500 * time.Millisecond // timeout for learner and voter to stop
)

// consensusDescriptors returns the number of file descriptors that the node with a name reserves for the consensus
// group. It is 0 if the fleet file has no consensus group.
func consensusDescriptors(fleet *config.Fleet, name string) int {
	if fleet == nil || fleet.Consensus == nil {
		return 0
	}
	for _, v := range fleet.Consensus.Voters {
		if v.Name == name {
			return voterDescriptors + descriptorsPerVoter*(len(fleet.Consensus.Voters)-1)
		}
	}
	return learnerDescriptors
}

// consensusMember is the node's membership of the consensus group: the learner of rule versions and, at a voter, also
// the voter and the registry of versions. The learner runs in its own goroutine; the event loop asks it for the
// effective version when a request begins.
type consensusMember struct {
	config         *config.Consensus
	name           string
	loop           *loop
	voter          *agreement.Voter  // nil if this node is not a voter
	registry       *learner.Registry // nil if this node is not a voter
	learner        *learner.Learner
	transport      *transport.Transport             // transport for calls to voters; nil at a voter
	self           agreement.Peer                   // this voter; zero if this node is not a voter
	settings       rules.Settings                   // settings by which rule sets are checked
	peers          atomic.Pointer[membership.Peers] // nil until the membership has started
	appliedVersion uint64                           // version in the decision module; owned by the event loop
}

// newConsensusMember returns a consensusMember. It is inactive until run is called.
func newConsensusMember(cfg config.Config, l *loop) (*consensusMember, error) {
	consensusConfig := cfg.Fleet.Consensus
	c := &consensusMember{config: consensusConfig, name: cfg.Name, loop: l, settings: ruleSettings(cfg)}
	fileSystem := cmp.Or[disk.FS](cfg.Disk, disk.Local{})
	learnerConfig := learner.Config{NodeIndex: cfg.Settings.NodeIndex, FleetSize: cfg.Settings.FleetSize, Name: cfg.Name, Zone: cfg.Settings.Zone,
		Settings: c.settings, LeaseParams: rules.DefaultLeaseParams, Dir: consensusConfig.Dir, Disk: fileSystem, Send: c.send, Introduce: c.introduce, OnVersionChange: c.effectiveVersionChanged}
	var voters []agreement.Peer
	for _, v := range consensusConfig.Voters {
		learnerConfig.Voters = append(learnerConfig.Voters, v.Name)
		voters = append(voters, agreement.Peer{Name: v.Name, Address: v.Address})
	}
	if i := slices.Index(learnerConfig.Voters, cfg.Name); i >= 0 {
		c.self = voters[i]
		c.registry = learner.NewRegistry(func(w rules.VersionState) { c.learner.Observe(w) })
		var err error
		c.voter, err = agreement.New(agreement.Config{Label: cfg.Fleet.Peers.Label, Name: cfg.Name, Voters: voters, Dir: consensusConfig.Dir, Disk: fileSystem,
			DialAddresses: cfg.Fleet.Peers.DialAddresses, StateMachines: map[byte]agreement.StateMachine{learner.StateMachineKind: c.registry},
			CallHandlers: map[byte]func(string, []byte) []byte{orderCallKind: c.handleCall},
			OnLeading:    func(term uint64) { c.learner.SetLeading(term != 0) }, OnLeaderChange: func() { c.learner.LeaderChanged() }})
		if err != nil {
			return nil, err
		}
		learnerConfig.Consensus, learnerConfig.Registry = c.voter, c.registry
	} else {
		var err error
		if c.transport, err = transport.Open(transport.Config{Label: cfg.Fleet.Peers.Label, Name: cfg.Name, DialAddresses: cfg.Fleet.Peers.DialAddresses}); err != nil {
			return nil, err
		}
	}
	c.learner = learner.New(learnerConfig)
	c.registerMetrics()
	return c, nil
}

// ruleSettings returns the settings by which rule sets are checked: the names of plans and classes, the limits on
// attempts and on requests in flight, and the zones. Zones are the node's own and those of the fleet file's regions.
func ruleSettings(cfg config.Config) rules.Settings {
	s := &cfg.Settings
	rulesSettings := rules.Settings{Zones: []string{s.Zone}, MaxAttempts: s.MaxAttempts, MaxInFlight: s.MaxInFlight}
	for _, zones := range cfg.Fleet.Regions {
		rulesSettings.Zones = append(rulesSettings.Zones, zones...)
	}
	slices.Sort(rulesSettings.Zones)
	rulesSettings.Zones = slices.Compact(rulesSettings.Zones)
	for _, p := range s.Plans {
		rulesSettings.Plans = append(rulesSettings.Plans, p.Name)
	}
	for _, k := range s.Classes {
		rulesSettings.Classes = append(rulesSettings.Classes, k.Name)
	}
	return rulesSettings
}

// run runs the learner and the voter until ctx ends. It waits at most consensusStopTimeout for them to stop, so that a
// stalled disk does not block the shutdown.
func (c *consensusMember) run(ctx context.Context) {
	stopped := make(chan struct{})
	go func() { // ends once learner and voter have stopped, or with the process
		defer close(stopped)
		learnerStopped := make(chan struct{})
		go func() { c.learner.Run(ctx); close(learnerStopped) }()
		if c.voter != nil {
			c.voter.Run(ctx)
		}
		<-learnerStopped
		if c.transport != nil {
			_ = c.transport.Close()
		}
	}()
	<-ctx.Done()
	select {
	case <-stopped:
	case <-time.After(consensusStopTimeout):
		slog.Warn("consensus: stopping timed out, a disk or a voter does not respond")
	}
}

// start passes a membership that has started to the consensus member.
func (c *consensusMember) start(p *membership.Peers) {
	c.peers.Store(p)
	c.updateMembers()
}

// updateMembers passes the live members to the learner.
func (c *consensusMember) updateMembers() {
	p := c.peers.Load()
	if p == nil {
		return
	}
	var members []learner.Member
	live, _ := p.Live()
	for _, m := range live {
		if m.SupportsKinds {
			members = append(members, learner.Member{Index: m.Index, Name: m.Name, Zone: m.Zone})
		}
	}
	c.learner.SetMembers(members)
}

// send sends a message of the learner to the node with an index. It fails until the membership has started.
func (c *consensusMember) send(to int, raw []byte) error {
	if p := c.peers.Load(); p != nil {
		return p.Send(to, raw)
	}
	return &membership.MemberError{Index: to}
}

// introduce makes the membership exchange member lists with the node that has an index. It fails until the membership
// has started.
func (c *consensusMember) introduce(to int) error {
	if p := c.peers.Load(); p != nil {
		return p.Introduce(to)
	}
	return &membership.MemberError{Index: to}
}

// effectiveVersionChanged makes the loop apply the effective version, so that it takes effect without a new request.
func (c *consensusMember) effectiveVersionChanged() {
	c.loop.post(func() { c.applyEffectiveVersion() })
}

// applyEffectiveVersion returns the rule version that applies to a request that begins now; 0 means the settings alone.
// It passes the rule set to the decision module if the version has changed. It must be called on the event loop.
func (c *consensusMember) applyEffectiveVersion() uint64 {
	effective := c.learner.EffectiveVersion()
	if effective.Number != c.appliedVersion {
		c.appliedVersion = effective.Number
		event := control.Rules{Version: effective.Number}
		if ruleSet := effective.Rules; ruleSet != nil {
			event.PriceFactor, event.QuotaFactor, event.TenantQuotaFactor, event.MaxAttempts = ruleSet.PriceFactor, ruleSet.QuotaFactor, ruleSet.TenantQuotaFactor, ruleSet.MaxAttempts
			event.MaxInFlight, event.ClosedZones, event.CrossZoneCost = ruleSet.MaxInFlight, ruleSet.ClosedZones, ruleSet.CrossZoneCost
		}
		c.loop.handle(event)
	}
	return effective.Number
}

// setVersionHeader sets the request's rule version in the header that the fleet file names, if it names one.
func (c *consensusMember) setVersionHeader(x *exchange) {
	if c.config.VersionHeader != "" {
		x.upstreamReq.Header.Set(c.config.VersionHeader, strconv.FormatUint(x.version, 10))
	}
}

// registerMetrics registers the metrics of the consensus group and the learner.
func (c *consensusMember) registerMetrics() {
	registry := c.loop.metricsRegistry()
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	counts := &c.learner.Counts
	for name, counter := range map[string]*atomic.Int64{
		"node_rules_sent_total": &counts.MessagesSent, "node_rules_unsent_total": &counts.SendErrors, "node_rules_spoilt_total": &counts.MessagesCorrupt,
		"node_rules_dropped_total": &counts.MessagesDropped, "node_rules_fetched_total": &counts.TextsFetched, "node_rules_fetched_bytes_total": &counts.TextBytesFetched,
		"node_rules_served_total": &counts.PartsSent, "node_rules_refused_total": &counts.VersionsUnusable, "node_rules_marks_total": &counts.VersionsPersisted,
		"node_rules_activations_total": &counts.Activations, "node_rules_gaps_total": &counts.Fallbacks,
	} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: "See docs/oncall.md."},
			func() float64 { return float64(counter.Load()) }))
	}
	gauge("node_rules_version", "Version that requests go by; 0 is the settings alone.", func() float64 { return float64(c.learner.EffectiveVersion().Number) })
	gauge("node_rules_known_version", "Version in force, as this node has heard.", func() float64 { return float64(c.learner.State().Active.Number) })
	gauge("node_rules_lease_seconds", "What is left of the lease on it; 0 is none.", func() float64 {
		if a := c.learner.EffectiveVersion(); a.Number != 0 {
			return (a.Until - learner.Clock()).Seconds()
		}
		return 0
	})
	if c.voter == nil {
		return
	}
	status := func(value func(s agreement.Status) float64) func() float64 {
		return func() float64 { return value(c.voter.Status()) }
	}
	gauge("node_council_term", "Term of the agreement.", status(func(s agreement.Status) float64 { return float64(s.Term) }))
	gauge("node_council_commit", "Records agreed.", status(func(s agreement.Status) float64 { return float64(s.CommitIndex) }))
	gauge("node_council_leading", "1 where this voter leads.", status(func(s agreement.Status) float64 { return boolValue(s.Leader == c.name) }))
	gauge("node_council_leader_known", "1 where it knows who leads.", status(func(s agreement.Status) float64 { return boolValue(s.Leader != "") }))
	gauge("node_council_voting", "1 where it votes.", status(func(s agreement.Status) float64 { return boolValue(s.Phase == agreement.PhaseVoting) }))
	gauge("node_council_renewed", "Times that it began with another identity in this process.", status(func(s agreement.Status) float64 { return float64(s.IdentityRenewals) }))
	gauge("node_council_strangers", "Streams closed for want of a head of this fleet.", status(func(s agreement.Status) float64 { return float64(s.RejectedStreams) }))
}

// boolValue returns 1 for true and 0 for false.
func boolValue(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
