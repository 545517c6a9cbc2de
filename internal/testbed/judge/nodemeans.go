package judge

import (
	"cmp"
	"slices"
	"time"

	"sloestile/internal/testbed/record"
	"sloestile/internal/testbed/scenario"
)

// NodeMeans is what one node needed in the mean over the nodes of a play, as seen from outside its process.
type NodeMeans struct {
	CPU         time.Duration // of all processes of the node, while clients came
	Memory      float64       // peak, bytes
	Descriptors float64       // peak
	Connections float64       // made to rating servers
	ListBytes   float64       // received from discovery
}

// nodeMeans reckons what a node needed in the mean.
func nodeMeans(d *scenario.Day, b *record.Book) NodeMeans {
	var m NodeMeans
	nodes := float64(len(d.Nodes))
	byNode := map[int][]record.Sample{}
	for _, s := range b.Samples {
		if s.At >= 0 {
			byNode[s.Node] = append(byNode[s.Node], s)
		}
	}
	for _, samples := range byNode {
		slices.SortFunc(samples, func(a, b record.Sample) int { return cmp.Compare(a.At, b.At) })
		memory, descriptors := int64(0), 0
		for i, s := range samples {
			memory, descriptors = max(memory, s.RSS), max(descriptors, s.Descriptors)
			if i == 0 {
				continue
			}
			spent := s.CPU - samples[i-1].CPU
			if spent < 0 { // a new process
				spent = s.CPU
			}
			m.CPU += spent
		}
		m.Memory += float64(memory) / nodes
		m.Descriptors += float64(descriptors) / nodes
	}
	m.CPU /= time.Duration(max(1, len(d.Nodes)))
	m.Connections = float64(b.Opened) / nodes
	m.ListBytes = float64(b.ListBytes) / nodes
	return m
}
